// The measured slopes by name, carried on to the size to design for.
import { fit } from '../fit.js';
import { size, sizeOf, taken } from './size.js';
import type { Slope } from './slope.js';

/** The slopes by name, and what they come to. */
export type Known = {
  of: (name: string) => Slope;
  slope: (name: string) => number;
  at: (name: string, x?: number) => number;
  reaches: (name: string, y: number) => number;
};

export const known = (slopes: Slope[]): Known => {
  const of = (name: string): Slope => {
    const s = slopes.find((x) => x.name === name);
    if (!s) throw new Error(`no slope ${name}`);
    return s;
  };
  return {
    of,
    slope: (name) => of(name).fit.slope,
    at: (name, x = sizeOf[of(name).by]!) => Math.max(0, fit.at(of(name).fit, x)),
    reaches: (name, y) => fit.reaches(of(name).fit, y),
  };
};

/** Bytes of one version of the ordered state, by how many routes there are. */
export const versionBytes = (k: Known, routes: number): number =>
  k.at('a version, by roster') +
  k.slope('a version, by classes') * size.tenants +
  k.slope('a version, by services') * size.models +
  k.slope('a version, by routes') * routes;

/** How often a version goes in and out of a node, as gateways and agents of the simulated net had it. */
export const versionCopies = (k: Known): number => {
  const { points } = k.of('times that a version goes in and out of a node');
  return points.reduce((a, [, y]) => a + y, 0) / points.length;
};

export const lostShare = taken.relays / (taken.relays + size.workers);

/** A machine that fails: two processes are ruled dead and two join; one that is restarted: they leave and join. */
export const versionsForOurs = 4 * (size.failed + size.restarted) * lostShare;

export const versionsADay = size.changes + versionsForOurs;
