// The slopes by name, extrapolated to the design size.
import { fit } from '../fit.js';
import { size, sizeOf, taken } from './size.js';
import type { Slope } from './slope.js';

/** Looks up fits by name: the slope, the value at a size (by default the design size), and the size at a value. */
export type Known = {
  slopeNamed: (name: string) => Slope;
  slope: (name: string) => number;
  at: (name: string, input?: number) => number;
  sizeFor: (name: string, target: number) => number;
};

/** Indexes the slopes by name. Lookups throw if there is no such slope. */
export const known = (slopes: Slope[]): Known => {
  const slopeNamed = (name: string): Slope => {
    const match = slopes.find((candidate) => candidate.name === name);
    if (!match) throw new Error(`no slope ${name}`);
    return match;
  };
  return {
    slopeNamed,
    slope: (name) => slopeNamed(name).fit.slope,
    at: (name, input = sizeOf[slopeNamed(name).by]!) => Math.max(0, fit.valueAt(slopeNamed(name).fit, input)),
    sizeFor: (name, target) => fit.solveForX(slopeNamed(name).fit, target),
  };
};

/** Size in bytes of one snapshot of the agreed state with this many routes. */
export const versionBytes = (byName: Known, routes: number): number =>
  byName.at('a version, by roster') +
  byName.slope('a version, by classes') * size.tenants +
  byName.slope('a version, by services') * size.models +
  byName.slope('a version, by routes') * routes;

/** How many times a snapshot is sent or received by a node, as simulated at gateways and agents. */
export const versionCopies = (byName: Known): number => {
  const { points } = byName.slopeNamed('times that a version goes in and out of a node');
  return points.reduce((a, [, yValue]) => a + yValue, 0) / points.length;
};

/** The share of our own machines in all machines, by which failures are attributed to them. */
export const lostShare = taken.relays / (taken.relays + size.workers);

/**
 * Snapshots a day for our own machines. A failed machine makes four: two processes are declared dead and two join; a
 * restarted one too: two leave and two join.
 */
export const versionsForOurs = 4 * (size.failed + size.restarted) * lostShare;

/** Snapshots a day, for configuration changes and for our own machines. */
export const versionsADay = size.changes + versionsForOurs;
