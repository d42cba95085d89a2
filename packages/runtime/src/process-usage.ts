/** What this process uses of its machine, as gauges for its metrics. */
import { readFileSync } from 'node:fs';

const bytesPerKilobyte = 1024;

/** Memory in bytes and the age of the process in seconds, by metric name. */
export type ProcessUsage = {
  process_uptime_seconds: number;
  process_resident_bytes: number;
  /** The highest resident size since the start; 0 where the system does not tell it. */
  process_resident_peak_bytes: number;
  process_heap_bytes: number;
  /** Buffers outside the heap. */
  process_external_bytes: number;
};

/** Reading the resident size opens a file, which fails when all descriptors are in use. */
const memoryUsage = (): { rss: number; heapUsed: number; external: number } => {
  try {
    return process.memoryUsage();
  } catch {
    return { rss: 0, heapUsed: 0, external: 0 };
  }
};

/** The system's own resource usage is no source: a process inherits its parent's peak from it. */
const peakResidentBytes = (): number => {
  try {
    const line = /^VmHWM:\s+(\d+) kB$/m.exec(readFileSync('/proc/self/status', 'latin1'));
    return Number(line?.[1] ?? 0) * bytesPerKilobyte;
  } catch {
    return 0;
  }
};

/** Reads the present usage of this process; memory is 0 while it can't be read. */
export const processUsage = (): ProcessUsage => {
  const { rss, heapUsed, external } = memoryUsage();
  return {
    process_uptime_seconds: Math.round(process.uptime()),
    process_resident_bytes: rss,
    process_resident_peak_bytes: Math.max(rss, peakResidentBytes()),
    process_heap_bytes: heapUsed,
    process_external_bytes: external,
  };
};
