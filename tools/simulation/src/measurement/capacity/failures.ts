// The effects of failures at the design size.
import { amount, figure } from './figure.js';
import { known, lostShare, versionBytes, versionCopies, versionsForOurs } from './known.js';
import { day, size, taken } from './size.js';
import type { Slope } from './slope.js';

/** Rows of the table of failures: what, and how much. */
export const failures = (slopes: Slope[]): [string, string][] => {
  const byName = known(slopes);
  const { minutes } = taken;
  const outOfService = (perDay: number): string =>
    minutes.map((duration) => figure((perDay * duration) / 1440)).join(', ');
  const incidents = size.failed + size.restarted;
  const [zone, region] = [size.nodes / size.zones, size.nodes / size.regions];
  const versions = byName.at('versions when processes are lost at once');
  const versionMs = 2 * taken.regionMs + 10;
  const zoneBytes = versions * versionCopies(byName) * versionBytes(byName, taken.routes[0]);
  const deltas = (2 * incidents * byName.slope('the list of workers')) / day;
  const requestsInHour = (size.requests / size.regions) * 3600;
  const reserved = size.history * taken.bytesPerToken;
  const within = minutes.join(', ');
  return [
    ['machines that fail in a day, of all', `${figure((100 * size.failed) / (taken.relays + size.workers))}%`],
    ['our own fail in a day, by share', figure(size.failed * lostShare)],
    ['our own are restarted in a day, by share', figure(size.restarted * lostShare)],
    [`out of service at any moment, of all, if each is for ${within} minutes`, outOfService(incidents)],
    ['the same, our own by share', outOfService(incidents * lostShare)],
    ['changes of the list of workers a second', figure((2 * incidents) / day)],
    ['the same as deltas, to each node', amount(deltas, 'B/s')],
    ['versions a day for our own, by share', figure(versionsForOurs)],
    ['versions a day, if all were our own', figure(4 * incidents)],
    ['a lost zone: nodes, processes, workers', [zone, 2 * zone, size.workers / size.zones].map(figure).join(', ')],
    ['a lost zone: turns cut, at most', figure(size.programs / size.zones)],
    ['a lost zone: versions, one after the other', figure(versions)],
    [
      `the same in time, ${versionMs} ms each`,
      `${figure((versions * versionMs) / 1000)} s; pushes are unconfirmed until then`,
    ],
    ['a lost zone: sent to and by each node left, 300 routes', amount(zoneBytes, 'B')],
    ['reserved for one cut turn, and stays charged', `up to ${figure(reserved)} for ${figure(size.history)} tokens`],
    ["a region's hour, one core: gateways that refuse", figure(region)],
    ["a region's hour, one core: processes ruled dead", `${figure(2 * region)}, of which the roster names 64`],
    ["a region's hour, one core: requests refused", `up to ${figure(requestsInHour)}`],
    ["a region's hour, home regions, 1 in 100 programs away", `${figure(requestsInHour / 100)} refused on each side`],
  ];
};
