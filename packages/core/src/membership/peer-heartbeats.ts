/** Sends this node's heartbeats to its peers, receives theirs, and logs what changes. */
import type { PeerHeartbeat, PeerStatus } from '../domain/peer.js';
import type { MembershipSettings } from '../domain/settings.js';
import type { Micros } from '../domain/time.js';
import { MILLI, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import { type PeerChange, PeerFailureDetector } from './peer-failure-detector.js';

/** A peer's answer shows that the state service is up only if it came so long after this node's own link was lost. */
const MIN_TIME_AFTER_LOSS: Micros = 500 * MILLI;
/** A peer's good answer that is older than that shows nothing of the present. */
const MAX_ANSWER_AGE: Micros = 5 * SECOND;
/** A worker without a heartbeat for so many of its intervals does not reach this node any more. */
const WORKER_EXPIRY_INTERVALS = 2.5;

/** What one peer reports of another, as it is logged. */
interface PeerReport {
  readonly by: string;
  readonly suspected: boolean;
  /** How long ago that peer received a heartbeat of the other. */
  readonly agoS: number;
}

/** Exchanges heartbeats with the other controllers. */
export class PeerHeartbeats {
  private readonly failureDetector: PeerFailureDetector;
  /** When each worker last sent a heartbeat to this node, by machine name. */
  private readonly workerContacts = new Map<string, Micros>();
  private incarnation = 0;
  private startedAt: Micros = 0;
  /** When the next heartbeat is due. */
  private dueAt: Micros = 0;
  /** How late this node's timers fire. */
  private lateUs: Micros = 0;
  /** When a peer was first found to be served during the present loss of this node's link; null: none was. */
  private peerServedAt: Micros | null = null;

  constructor(
    private readonly context: NodeContext,
    private readonly settings: MembershipSettings,
    /** The term that this node leads at present; null: none. */
    private readonly term: () => number | null,
  ) {
    this.failureDetector = new PeerFailureDetector(
      settings,
      context.settings.peers.map((peer) => peer.member),
      () => context.now,
    );
  }

  /** Starts sending. `wallUs`: time of day; a process that starts later on the same node has a later one. */
  start(wallUs: Micros): void {
    this.incarnation = Math.max(1, Math.floor(wallUs / MILLI));
    this.startedAt = this.context.now;
    this.dueAt = this.context.now;
    this.tick();
  }

  /** Takes a peer's heartbeat. */
  receive(heartbeat: PeerHeartbeat): void {
    this.raiseIncarnationAbove(heartbeat);
    this.logChange(this.failureDetector.receive(heartbeat));
    const lostAt = this.context.storeConnection.downSince;
    if (
      lostAt === null ||
      this.failureDetector.peerWithStoreAnswerAfter(lostAt + MIN_TIME_AFTER_LOSS) === null
    )
      this.peerServedAt = null;
    else this.peerServedAt ??= this.context.now;
  }

  /**
   * The time of day may be behind that of the process before, which may have ended a moment ago: its incarnation is then as
   * high as ours or higher, and peers would drop our heartbeats for seconds. What they report of this member that we can't
   * have sent ourselves was sent by that process.
   */
  private raiseIncarnationAbove({ peers }: PeerHeartbeat): void {
    const { now, settings } = this.context;
    for (const { member, incarnation, ageUs } of peers) {
      if (member !== settings.member) continue;
      const sentBeforeStart = incarnation === this.incarnation && ageUs > now - this.startedAt;
      if (incarnation > this.incarnation || sentBeforeStart) this.incarnation = incarnation + 1;
    }
  }

  /** Records a worker's heartbeat to this node, whatever the response to it. */
  recordWorkerContact(machine: string): void {
    this.workerContacts.set(machine, this.context.now);
  }

  /**
   * Whether the state service answers a peer while it does not answer this node: then it is no outage, and clients are
   * better served elsewhere. At the end of an outage some node is always answered first: so it also takes a request of this
   * node that was sent after that and failed as well.
   */
  isStoreServingPeers(): boolean {
    const { storeConnection, now } = this.context;
    if (storeConnection.downSince === null || this.peerServedAt === null) return false;
    return (
      storeConnection.lastFailureSentAt > this.peerServedAt &&
      this.failureDetector.peerWithStoreAnswerAfter(now - MAX_ANSWER_AGE) !== null
    );
  }

  private tick(): void {
    const { context } = this;
    const { heartbeatIntervalUs } = this.settings;
    // A delay counts for a while longer: the next heartbeats of the peers may still be on their way in.
    this.lateUs = Math.max(context.now - this.dueAt, Math.floor(this.lateUs / 2));
    for (const change of this.failureDetector.suspectSilentPeers(this.lateUs)) this.logChange(change);
    this.expireWorkerContacts();
    const message = this.failureDetector.composeHeartbeat(this.ownStatus());
    for (const { member } of context.settings.peers) context.emit({ kind: 'peerMessage', member, message });
    this.dueAt = context.now + heartbeatIntervalUs;
    context.after(heartbeatIntervalUs, () => {
      this.tick();
    });
  }

  private expireWorkerContacts(): void {
    const { now, settings } = this.context;
    const oldest = now - WORKER_EXPIRY_INTERVALS * settings.heartbeatIntervalUs;
    for (const [machine, contactAt] of this.workerContacts)
      if (contactAt < oldest) this.workerContacts.delete(machine);
  }

  private ownStatus(): PeerStatus {
    const { now, settings, storeConnection } = this.context;
    const { lastSuccessAt } = storeConnection;
    return {
      member: settings.member,
      incarnation: this.incarnation,
      term: this.term(),
      storeAnswerAgeUs: lastSuccessAt === 0 ? null : now - lastSuccessAt,
      timerDelayUs: this.lateUs,
      workerCount: this.workerContacts.size,
    };
  }

  private logChange(change: PeerChange | null): void {
    if (change === null) return;
    const { context } = this;
    const { member: of } = change;
    switch (change.kind) {
      case 'suspected':
        context.info('peer.suspected', {
          of,
          silentS: change.silentUs / SECOND,
          limitS: change.limitUs / SECOND,
          incarnation: this.failureDetector.peers.get(of)?.incarnation,
          ownLateS: this.lateUs / SECOND,
          others: this.reportsOf(of),
        });
        return;
      case 'alive':
        context.info('peer.alive', {
          of,
          ...(change.silentUs === null ? {} : { afterS: change.silentUs / SECOND }),
        });
        return;
      case 'restarted':
        context.info('peer.restarted', { of, incarnation: change.incarnation });
    }
  }

  /** What the other peers report of a member: evidence for whoever reads the log, which nothing acts on. */
  private reportsOf(member: string): readonly PeerReport[] {
    const { now } = this.context;
    return [...this.failureDetector.peers.values()].flatMap((peer) =>
      (peer.lastHeartbeat?.peers ?? [])
        .filter((report) => report.member === member)
        .map((report) => ({
          by: peer.name,
          suspected: report.suspected,
          agoS: (report.ageUs + now - peer.lastReceivedAt) / SECOND,
        })),
    );
  }
}
