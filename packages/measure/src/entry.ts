/** Simulated entry process with its views of the targets, routing, admission and retries. */
import {
  Popularity,
  admit,
  type TargetReport,
  type TargetView,
} from '@balsamnotch/core';
import type {EventQueue} from './events.js';
import {MESSAGE_DELAY_MS} from './limiter.js';
import type {Policy} from './policies.js';
import type {Target, Work} from './target.js';
import type {Deployment, Request} from './trace.js';

/** Delay of a report from a target to an entry, in milliseconds. */
const REPORT_DELAY_MS = 20;

/** Age of the last report above which an entry asks the target for a new one. */
const PROBE_AFTER_MS = 1_000;

/** Records the progress of requests. */
export interface RequestObserver {
  recordStart(request: Request, hasStalled: boolean): void;
  recordEnd(request: Request, target: number): void;
  recordRefusal(request: Request, reason: string, hasStalled: boolean): void;
}

/** A simulated entry process. */
export class Entry {
  private views: readonly TargetView[];
  private readonly popularity = new Popularity();
  private routedCount = 0;

  constructor(
    private readonly events: EventQueue,
    private readonly targets: readonly Target[],
    private readonly policy: Policy,
    private readonly deployment: Deployment,
    private readonly observer: RequestObserver,
  ) {
    this.views = targets.map(({name}) => ({
      name,
      weight: 1,
      reportAtMs: 0,
      sentSince: 0,
      avoidUntilMs: 0,
    }));
    this.probe();
  }

  /**
   * Admits and routes a request that has arrived or that a target has lost.
   * `hasStalled` tells whether it waited for a load at an earlier target.
   */
  serve(request: Request, hasStalled: boolean = false): void {
    const key = {adapter: `a${request.adapter}`, version: 'v1'};
    const nowMs = this.events.nowMs;
    const views = this.policy.isBalsamnotch
      ? this.popularity.withRecentShares(this.views, nowMs)
      : this.views;
    const budgetMs = request.arrivalMs + this.deployment.budgetMs - nowMs;
    const refusal =
      this.policy.isBalsamnotch &&
      admit(
        {
          priority: request.priority,
          adapter: key,
          budgetMs,
          queueLimit: this.deployment.queueLimit,
          loadMs: 250,
        },
        views,
        nowMs,
      );
    if (refusal) {
      this.observer.recordRefusal(request, refusal.reason, hasStalled);
      return;
    }
    this.popularity.recordRequest(key, nowMs);
    const [best] = this.policy.route({
      key: `${key.adapter}@v1`,
      adapter: key.adapter,
      views,
      nowMs,
      popularity: this.popularity,
      routedCount: this.routedCount++,
      deployment: this.deployment,
    });
    const target = this.targets.find(({name}) => name === best?.target);
    if (target !== undefined) this.send(request, target, hasStalled);
  }

  private send(request: Request, target: Target, hasStalled: boolean): void {
    const {name} = target;
    this.popularity.recordSend(name, this.events.nowMs);
    this.updateView(name, view => ({...view, sentSince: view.sentSince + 1}));
    const sendReport = () => this.deliverReport(target.report());
    const work: Work = {
      request,
      key: {adapter: `a${request.adapter}`, version: 'v1'},
      priority: request.priority,
      sinceMs: this.events.nowMs + MESSAGE_DELAY_MS,
      deadlineMs: request.arrivalMs + this.deployment.budgetMs,
      isStalled: hasStalled,
      onStart: isStalled =>
        this.observer.recordStart(request, isStalled || hasStalled),
      onEnd: () => {
        this.observer.recordEnd(request, target.index);
        sendReport();
      },
      onRefuse: (reason, isStalled) => {
        this.observer.recordRefusal(request, reason, isStalled || hasStalled);
        sendReport();
      },
      onLost: () =>
        this.events.after(MESSAGE_DELAY_MS, () =>
          this.serve(request, hasStalled),
        ),
    };
    this.events.after(MESSAGE_DELAY_MS, () => {
      target.receive(work);
      sendReport();
    });
  }

  /** Updates the view of the target after the delay, unless a newer report has arrived. */
  private deliverReport(report: TargetReport): void {
    this.events.after(REPORT_DELAY_MS, () => {
      const last = this.views.find(({name}) => name === report.node)?.report;
      if (last !== undefined && last.nodeClockMs > report.nodeClockMs) return;
      this.updateView(report.node, view => ({
        ...view,
        report,
        reportAtMs: this.events.nowMs,
        sentSince: 0,
      }));
    });
  }

  private updateView(
    name: string,
    change: (view: TargetView) => TargetView,
  ): void {
    this.views = this.views.map(view =>
      view.name === name ? change(view) : view,
    );
  }

  /** Requests a report from each target without a recent one, and schedules the next check. */
  private probe(): void {
    const nowMs = this.events.nowMs;
    this.views.forEach((view, i) => {
      const target = this.targets[i];
      const isStale = nowMs - view.reportAtMs > PROBE_AFTER_MS || nowMs === 0;
      if (isStale && target !== undefined) this.deliverReport(target.report());
    });
    this.events.after(PROBE_AFTER_MS / 4, () => this.probe());
  }
}
