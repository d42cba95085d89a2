/** Counts what the HTTP clients of this process receive, as gauges for its metrics. */
import type net from 'node:net';

/** Bytes since the start: all that arrived, and the part of it that was the content of responses. */
export type ClientTraffic = { http_client_received_bytes: number; http_client_content_bytes: number };

const openSockets = new Set<net.Socket>();
let closedSocketBytes = 0;
let contentBytes = 0;

/** Counts what a connected socket receives until it closes. */
export const countSocket = (socket: net.Socket): void => {
  openSockets.add(socket);
  socket.once('close', () => {
    openSockets.delete(socket);
    closedSocketBytes += socket.bytesRead;
  });
};
/** Counts content of a response, in bytes. */
export const countContent = (bytes: number): void => {
  contentBytes += bytes;
};
/** Reads the counts. */
export const clientTraffic = (): ClientTraffic => {
  let receivedBytes = closedSocketBytes;
  for (const socket of openSockets) receivedBytes += socket.bytesRead;
  return { http_client_received_bytes: receivedBytes, http_client_content_bytes: contentBytes };
};
