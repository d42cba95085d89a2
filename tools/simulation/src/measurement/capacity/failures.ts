// What failures come to at the size to design for.
import { amount, figure } from './figure.js';
import { known, lostShare, versionBytes, versionCopies, versionsForOurs } from './known.js';
import { day, size, taken } from './size.js';
import type { Slope } from './slope.js';

export const failures = (slopes: Slope[]): [string, string][] => {
  const k = known(slopes);
  const { minutes } = taken;
  const gone = (perDay: number): string => minutes.map((m) => figure((perDay * m) / 1440)).join(', ');
  const all = size.failed + size.restarted;
  const [zone, region] = [size.nodes / size.zones, size.nodes / size.regions];
  const versions = k.at('versions when processes are lost at once');
  const step = 2 * taken.regionMs + 10;
  const zoneBytes = versions * versionCopies(k) * versionBytes(k, taken.routes[0]);
  const deltas = (2 * all * k.slope('the list of workers')) / day;
  const hour = (size.requests / size.regions) * 3600;
  const reserved = size.history * taken.bytesPerToken;
  const within = minutes.join(', ');
  return [
    ['machines that fail in a day, of all', `${figure((100 * size.failed) / (taken.relays + size.workers))}%`],
    ['our own fail in a day, by share', figure(size.failed * lostShare)],
    ['our own are restarted in a day, by share', figure(size.restarted * lostShare)],
    [`out of service at any moment, of all, if each is for ${within} minutes`, gone(all)],
    ['the same, our own by share', gone(all * lostShare)],
    ['changes of the list of workers a second', figure((2 * all) / day)],
    ['the same as deltas, to each node', amount(deltas, 'B/s')],
    ['versions a day for our own, by share', figure(versionsForOurs)],
    ['versions a day, if all were our own', figure(4 * all)],
    ['a lost zone: nodes, processes, workers', [zone, 2 * zone, size.workers / size.zones].map(figure).join(', ')],
    ['a lost zone: turns cut, at most', figure(size.programs / size.zones)],
    ['a lost zone: versions, one after the other', figure(versions)],
    [`the same in time, ${step} ms each`, `${figure((versions * step) / 1000)} s; pushes are unconfirmed until then`],
    ['a lost zone: sent to and by each node left, 300 routes', amount(zoneBytes, 'B')],
    ['reserved for one cut turn, and stays charged', `up to ${figure(reserved)} for ${figure(size.history)} tokens`],
    ["a region's hour, one core: gateways that refuse", figure(region)],
    ["a region's hour, one core: processes ruled dead", `${figure(2 * region)}, of which the roster names 64`],
    ["a region's hour, one core: requests refused", `up to ${figure(hour)}`],
    ["a region's hour, home regions, 1 in 100 programs away", `${figure(hour / 100)} refused on each side`],
  ];
};
