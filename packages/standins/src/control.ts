/** Client of the control route of stand-ins, for tests, the demo and drills. */

/** Report of a stand-in: its current settings, and counters of executed requests and their effects. */
export interface StandInReport {
  readonly counters: Readonly<Record<string, number>>;
  readonly [setting: string]: unknown;
}

/** Sets settings and faults of the stand-in at a control URL. Throws when the stand-in rejects them. */
export function setControl(
  url: string,
  control: object,
): Promise<StandInReport> {
  return requestControl(url, {method: 'POST', body: JSON.stringify(control)});
}

/** Returns the report of the stand-in at a control URL. Throws when the request fails. */
export function getControl(url: string): Promise<StandInReport> {
  return requestControl(url, {method: 'GET'});
}

async function requestControl(
  url: string,
  init: RequestInit,
): Promise<StandInReport> {
  const response = await fetch(`${url}/control`, init);
  const text = await response.text();
  if (!response.ok) throw new Error(`control request refused: ${text}`);
  return JSON.parse(text) as StandInReport;
}
