/** Fields and paths of the operators' interface that keep the names of its first release. */
export const fieldNames = { stores: 'keepers', coordinators: 'towers' } as const;
