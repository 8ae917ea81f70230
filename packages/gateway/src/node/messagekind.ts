/** Kinds of control messages, for the counter `control_sent`. */

/** Fields of messages in the order in which the first that is set names the kind. */
const KINDS: ReadonlyArray<readonly [field: string, kind: string]> = [
  ['crashes', 'crash_record'],
  ['crashRecordDigests', 'crash_digests'],
  ['acquire', 'lease'],
  ['release', 'release'],
  ['grants', 'lease_answer'],
  ['queued', 'lease_confirmation'],
  ['askedStreams', 'origin_question'],
  ['streamAnswers', 'origin_answer'],
  ['begunStreams', 'origin'],
  ['limit', 'limit'],
  ['accountUses', 'account_use'],
  ['accountTotals', 'account_total'],
  ['wantsReport', 'probe'],
  ['report', 'report'],
  ['stopping', 'stop'],
];

function isSet(value: unknown): boolean {
  return Array.isArray(value) ? value.length > 0 : Boolean(value);
}

/** Returns the kind of a message between an entry and a target node. */
export function messageKind(message: object): string {
  const fields = message as Readonly<Record<string, unknown>>;
  const known = KINDS.find(([field]) => isSet(fields[field]));
  return known?.[1] ?? 'operator_state';
}
