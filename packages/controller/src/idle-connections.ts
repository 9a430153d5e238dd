/** Closes connections that have been idle for long once connections become scarce, the longest idle first. */
import type * as http from 'node:http';
import type { Socket } from 'node:net';

/** From this share of all connections on, room is made for new ones. */
const CROWDED_SHARE = 0.7;

/**
 * After a network partition connections that nobody had closed stayed for two minutes: a leader's were all taken, new ones
 * refused, and 281 machines that could not send heartbeats were deleted as silent (a recorded day of adresy-pomorze).
 */
export const closeIdleConnections = (server: http.Server, maxConnections: number, idleMs: number): void => {
  /** Since when a connection is idle, in that order. */
  const idleSince = new Map<Socket, number>();
  let open = 0;
  const markIdle = (socket: Socket): void => {
    idleSince.delete(socket);
    if (!socket.destroyed) idleSince.set(socket, performance.now());
  };
  const makeRoomFor = (newest: Socket): void => {
    for (const [socket, since] of idleSince) {
      if (socket === newest || performance.now() - since < idleMs) break;
      socket.destroy();
    }
  };
  server.on('connection', (socket) => {
    open++;
    socket.once('close', () => {
      open--;
      idleSince.delete(socket);
    });
    markIdle(socket);
    if (open > maxConnections * CROWDED_SHARE) makeRoomFor(socket);
  });
  server.on('request', (request, response) => {
    idleSince.delete(request.socket);
    response.once('close', () => {
      markIdle(request.socket);
    });
  });
};
