/** Fields and paths of the admin API that keep the names of the first release, for compatibility. */
export const fieldNames = { stores: 'keepers', coordinators: 'towers' } as const;
