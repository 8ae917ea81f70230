/** Client of the control route, for tests, the demo and drills. */

/** Report of a stand-in: its settings and the counters of what took effect. */
export interface StandInReport {
  readonly counters: Readonly<Record<string, number>>;
  readonly [setting: string]: unknown;
}

/** Sets faults and values of the stand-in at a control URL. Throws when the stand-in refuses them. */
export function setControl(
  url: string,
  control: object,
): Promise<StandInReport> {
  return ask(url, {method: 'POST', body: JSON.stringify(control)});
}

/** Reads the report of the stand-in at a control URL. */
export function getControl(url: string): Promise<StandInReport> {
  return ask(url, {method: 'GET'});
}

async function ask(url: string, init: RequestInit): Promise<StandInReport> {
  const answer = await fetch(`${url}/control`, init);
  const text = await answer.text();
  if (!answer.ok) throw new Error(`control request refused: ${text}`);
  return JSON.parse(text) as StandInReport;
}
