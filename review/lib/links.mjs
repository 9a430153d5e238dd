/** TCP proxies before the controllers' addresses for one another: open, they carry everything; closed, they refuse. */
import * as net from 'node:net';

export class Link {
  constructor(target) {
    const [host, port] = target.split(':');
    this.target = { host, port: Number(port) };
    this.sockets = new Set();
  }

  open(port = 0) {
    this.server = net.createServer((incoming) => {
      const outgoing = net.connect(this.target);
      for (const socket of [incoming, outgoing]) {
        this.sockets.add(socket);
        socket.on('error', () => undefined);
        socket.on('close', () => {
          this.sockets.delete(socket);
          incoming.destroy();
          outgoing.destroy();
        });
      }
      incoming.pipe(outgoing);
      outgoing.pipe(incoming);
    });
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, '127.0.0.1', () => {
        this.address = `127.0.0.1:${this.server.address().port}`;
        resolve();
      });
    });
  }

  /** From now on connections are refused; open ones are reset. */
  close() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}
