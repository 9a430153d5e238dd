/** Sends heartbeats to the peers, processes theirs, and logs changes of their states. */
import type { PeerHeartbeat, PeerStatus } from '../domain/peer.js';
import type { MembershipSettings } from '../domain/settings.js';
import type { Micros } from '../domain/time.js';
import { MILLISECOND, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import { type PeerChange, PeerFailureDetector } from './peer-failure-detector.js';

/**
 * An answer to a peer proves that the state service is up only if it is at least this much later than the loss of this
 * node's connection.
 */
const MIN_ANSWER_DELAY_AFTER_LOSS_US: Micros = 500 * MILLISECOND;
/** A successful answer to a peer that is older than this says nothing about the current state. */
const MAX_ANSWER_AGE_US: Micros = 5 * SECOND;
/** Number of heartbeat intervals without a heartbeat after which a worker counts as not reaching this node. */
const WORKER_EXPIRY_HEARTBEAT_INTERVALS = 2.5;

/** One peer's report on another, as logged. */
interface PeerReport {
  readonly by: string;
  readonly suspected: boolean;
  /** Time since the reporting peer received a heartbeat of the other. */
  readonly agoS: number;
}

/** Exchanges heartbeats with the other controllers. */
export class PeerHeartbeats {
  private readonly failureDetector: PeerFailureDetector;
  /** Time of each worker's last heartbeat to this node, by machine name. */
  private readonly workerContacts = new Map<string, Micros>();
  private incarnation = 0;
  private startedAt: Micros = 0;
  /** When the next own heartbeat is due. */
  private dueAt: Micros = 0;
  /** Delay with which this node's timers fire; decays over some heartbeats. */
  private timerDelayUs: Micros = 0;
  /** When a peer was first known to be answered by the store during this node's current interruption; null if none was. */
  private peerServedAt: Micros | null = null;

  constructor(
    private readonly context: NodeContext,
    private readonly settings: MembershipSettings,
    /** Returns the term that this node leads and may act in; null if none. */
    private readonly leadingTerm: () => number | null,
  ) {
    this.failureDetector = new PeerFailureDetector(
      settings,
      context.settings.peers.map((peer) => peer.member),
      () => context.now,
    );
  }

  /** Starts to send heartbeats. `wallUs`: wall-clock time, from which the incarnation number is derived. */
  start(wallUs: Micros): void {
    this.incarnation = Math.max(1, Math.floor(wallUs / MILLISECOND));
    this.startedAt = this.context.now;
    this.dueAt = this.context.now;
    this.runHeartbeatCycle();
  }

  /** Processes a peer's heartbeat, and updates whether the store is known to answer any peer. */
  receive(heartbeat: PeerHeartbeat): void {
    this.raiseIncarnationAbove(heartbeat);
    this.logChange(this.failureDetector.receive(heartbeat));
    const lostAt = this.context.storeConnection.downSince;
    if (
      lostAt === null ||
      this.failureDetector.peerWithStoreAnswerAfter(lostAt + MIN_ANSWER_DELAY_AFTER_LOSS_US) === null
    )
      this.peerServedAt = null;
    else this.peerServedAt ??= this.context.now;
  }

  /**
   * The wall clock may be behind that of the previous process on this node, whose incarnation is then the same as ours or
   * higher, so that peers would ignore our heartbeats for seconds. If a peer reports a heartbeat of this member that we
   * can't have sent, it came from that process, and our incarnation is raised above its.
   */
  private raiseIncarnationAbove({ peers }: PeerHeartbeat): void {
    const { now, settings } = this.context;
    for (const { member, incarnation, ageUs } of peers) {
      if (member !== settings.member) continue;
      const sentBeforeStart = incarnation === this.incarnation && ageUs > now - this.startedAt;
      if (incarnation > this.incarnation || sentBeforeStart) this.incarnation = incarnation + 1;
    }
  }

  /** Records that a worker's heartbeat reached this node, whatever the response to it. */
  recordWorkerContact(machine: string): void {
    this.workerContacts.set(machine, this.context.now);
  }

  /**
   * Whether the state service answers a peer but not this node, so that clients are better served by another node. At the
   * end of an outage for all nodes, some node is always answered first; therefore a request that this node sent after
   * that must also have failed.
   */
  isStoreServingPeers(): boolean {
    const { storeConnection, now } = this.context;
    if (storeConnection.downSince === null || this.peerServedAt === null) return false;
    return (
      storeConnection.lastFailureSentAt > this.peerServedAt &&
      this.failureDetector.peerWithStoreAnswerAfter(now - MAX_ANSWER_AGE_US) !== null
    );
  }

  private runHeartbeatCycle(): void {
    const { context } = this;
    const { heartbeatIntervalUs } = this.settings;
    // A delay is halved each time rather than dropped: heartbeats of peers may still be waiting to be processed.
    this.timerDelayUs = Math.max(context.now - this.dueAt, Math.floor(this.timerDelayUs / 2));
    for (const change of this.failureDetector.suspectOverduePeers(this.timerDelayUs)) this.logChange(change);
    this.expireWorkerContacts();
    const message = this.failureDetector.composeHeartbeat(this.ownStatus());
    for (const { member } of context.settings.peers) context.emit({ kind: 'peerMessage', member, message });
    this.dueAt = context.now + heartbeatIntervalUs;
    context.after(heartbeatIntervalUs, () => {
      this.runHeartbeatCycle();
    });
  }

  private expireWorkerContacts(): void {
    const { now, settings } = this.context;
    const oldest = now - WORKER_EXPIRY_HEARTBEAT_INTERVALS * settings.heartbeatIntervalUs;
    for (const [machine, contactAt] of this.workerContacts)
      if (contactAt < oldest) this.workerContacts.delete(machine);
  }

  private ownStatus(): PeerStatus {
    const { now, settings, storeConnection } = this.context;
    const { lastSuccessAt } = storeConnection;
    return {
      member: settings.member,
      incarnation: this.incarnation,
      term: this.leadingTerm(),
      storeAnswerAgeUs: lastSuccessAt === 0 ? null : now - lastSuccessAt,
      timerDelayUs: this.timerDelayUs,
      workerCount: this.workerContacts.size,
    };
  }

  private logChange(change: PeerChange | null): void {
    if (change === null) return;
    const { context } = this;
    const { member } = change;
    switch (change.kind) {
      case 'suspected':
        context.info('peer.suspected', {
          of: member,
          silentS: change.sinceHeartbeatUs / SECOND,
          limitS: change.timeoutUs / SECOND,
          incarnation: this.failureDetector.peers.get(member)?.incarnation,
          ownLateS: this.timerDelayUs / SECOND,
          others: this.reportsOf(member),
        });
        return;
      case 'alive':
        context.info('peer.alive', {
          of: member,
          ...(change.sinceHeartbeatUs === null ? {} : { afterS: change.sinceHeartbeatUs / SECOND }),
        });
        return;
      case 'restarted':
        context.info('peer.restarted', { of: member, incarnation: change.incarnation });
    }
  }

  /** Returns what the other peers report about a member. Logged for diagnosis only; no decision depends on it. */
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
