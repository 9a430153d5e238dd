/** Sends this node's beats, takes those of the others, and logs what that changes. */
import type { NodeContext } from '../node/node-context.js';
import type { PeerHeartbeat } from '../domain/peer.js';
import type { MembershipSettings } from '../domain/settings.js';
import type { Micros } from '../domain/time.js';
import { MILLI, SECOND } from '../domain/time.js';
import { PeerFailureDetector, type PeerChange } from './peer-failure-detector.js';

/** A peer's word counts for an interruption of this node's own link only if it got an answer so long after that began. */
const AFTER: Micros = 500 * MILLI;
/** A peer's good answer that is older than that says nothing of now. */
const STALE: Micros = 5 * SECOND;
/** A worker that has not come for so many of its intervals is none that reaches this node. */
const REPORTS = 2.5;

export class PeerHeartbeats {
  readonly members: PeerFailureDetector;
  /** Workers that came, and when they last did. */
  private readonly workers = new Map<string, Micros>();
  private incarnation = 0;
  private startedAt: Micros = 0;
  private dueAt: Micros = 0;
  private lateUs: Micros = 0;
  /** When a peer first had a good answer during the present interruption of this node's link; null: none had. */
  private elsewhereAt: Micros | null = null;

  constructor(
    private readonly ctx: NodeContext,
    private readonly settings: MembershipSettings,
    /** The term of the office that is held with right now; null: none. */
    private readonly term: () => number | null,
  ) {
    this.members = new PeerFailureDetector(
      settings,
      ctx.settings.peers.map((p) => p.member),
      () => ctx.now,
    );
  }

  /** `wallUs`: time of day; a process that starts later on the same node has a later one. */
  start(wallUs: Micros): void {
    this.incarnation = Math.max(1, Math.floor(wallUs / MILLI));
    this.startedAt = this.ctx.now;
    this.dueAt = this.ctx.now;
    this.tick();
  }

  receive(b: PeerHeartbeat): void {
    this.outbid(b);
    this.tell(this.members.receive(b));
    const since = this.ctx.storeConnection.downSince;
    if (since === null || this.members.peerWithStoreAnswerAfter(since + AFTER) === null)
      this.elsewhereAt = null;
    else this.elsewhereAt ??= this.ctx.now;
  }

  /**
   * The time of day may lie behind that of the process before, which may have ended a moment ago: its number is then as high
   * as ours or higher, and peers would drop our beats for seconds. What they say of this name that we can't have told them
   * ourselves was of that process.
   */
  private outbid(b: PeerHeartbeat): void {
    for (const o of b.peers) {
      if (o.member !== this.ctx.settings.member) continue;
      const before = o.incarnation === this.incarnation && o.ageUs > this.ctx.now - this.startedAt;
      if (o.incarnation > this.incarnation || before) this.incarnation = o.incarnation + 1;
    }
  }

  /** A worker reported to this node, whatever it was answered. */
  recordWorkerContact(machine: string): void {
    this.workers.set(machine, this.ctx.now);
  }

  /**
   * Whether a peer is served by the state service while this node is not: then it is no outage, and users are better
   * off elsewhere. At the end of an outage some node is always answered first: so it takes a call of this node that was
   * sent after that and failed as well.
   */
  isStoreServingPeers(): boolean {
    const { storeConnection: link, now } = this.ctx;
    if (link.downSince === null || this.elsewhereAt === null) return false;
    return (
      link.lastFailureSentAt > this.elsewhereAt && this.members.peerWithStoreAnswerAfter(now - STALE) !== null
    );
  }

  private tick(): void {
    const { ctx } = this;
    // What was late once is doubted for a while: the next beats of others may still be on their way in.
    this.lateUs = Math.max(ctx.now - this.dueAt, Math.floor(this.lateUs / 2));
    for (const c of this.members.suspectSilentPeers(this.lateUs)) this.tell(c);
    const oldest = ctx.now - REPORTS * ctx.settings.heartbeatIntervalUs;
    for (const [machine, at] of this.workers) if (at < oldest) this.workers.delete(machine);
    const message = this.members.composeHeartbeat({
      member: ctx.settings.member,
      incarnation: this.incarnation,
      term: this.term(),
      storeAnswerAgeUs:
        ctx.storeConnection.lastSuccessAt === 0 ? null : ctx.now - ctx.storeConnection.lastSuccessAt,
      timerDelayUs: this.lateUs,
      workerCount: this.workers.size,
    });
    for (const p of ctx.settings.peers) ctx.emit({ kind: 'peerMessage', member: p.member, message });
    this.dueAt = ctx.now + this.settings.heartbeatIntervalUs;
    ctx.after(this.settings.heartbeatIntervalUs, () => {
      this.tick();
    });
  }

  private tell(c: PeerChange | null): void {
    if (c === null) return;
    const { ctx } = this;
    if (c.kind === 'suspected') {
      const m = this.members.all.get(c.member);
      // What others say of it is evidence to read, not to act on.
      const also = [...this.members.all.values()].flatMap((x) =>
        (x.beat?.peers ?? [])
          .filter((o) => o.member === c.member)
          .map((o) => ({
            by: x.name,
            suspected: o.suspected,
            agoS: (o.ageUs + ctx.now - x.heardAt) / SECOND,
          })),
      );
      ctx.info('peer.suspected', {
        of: c.member,
        silentS: c.silent / SECOND,
        limitS: c.limit / SECOND,
        incarnation: m?.incarnation,
        ownLateS: this.lateUs / SECOND,
        others: also,
      });
    } else if (c.kind === 'heard')
      ctx.info('peer.alive', { of: c.member, ...(c.after === null ? {} : { afterS: c.after / SECOND }) });
    else ctx.info('peer.restarted', { of: c.member, incarnation: c.incarnation });
  }
}
