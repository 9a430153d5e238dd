/** Closes connections that have been idle for long once most of the allowed connections are open, the longest idle first. */
import type * as http from 'node:http';
import type { Socket } from 'node:net';

/** Above this share of all allowed connections idle ones are closed to admit new ones. */
const CROWDED_SHARE = 0.7;

/**
 * Keeps connections whose clients are gone from blocking new ones. After a network partition such connections stayed open for two
 * minutes: the leader reached its connection limit and refused new ones, and 281 machines that could not send heartbeats were
 * deleted for not reporting (in one simulated deployment).
 */
export const closeIdleConnections = (server: http.Server, maxConnections: number, idleMs: number): void => {
  /** When each idle connection became idle, the longest idle first. */
  const idleSince = new Map<Socket, number>();
  let open = 0;
  const markIdle = (socket: Socket): void => {
    idleSince.delete(socket);
    if (!socket.destroyed) idleSince.set(socket, performance.now());
  };
  const closeIdleBefore = (newest: Socket): void => {
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
    if (open > maxConnections * CROWDED_SHARE) closeIdleBefore(socket);
  });
  server.on('request', (request, response) => {
    idleSince.delete(request.socket);
    response.once('close', () => {
      markIdle(request.socket);
    });
  });
};
