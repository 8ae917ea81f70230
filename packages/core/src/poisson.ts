/** Poisson distribution. */

/** Returns the probability of `count` events or more where `mean` are expected. */
export function poissonTail(count: number, mean: number): number {
  if (count <= 0) return 1;
  // The terms above `count` are summed directly: 1 minus the others loses all digits of a small tail.
  let term = Math.exp(-mean);
  for (let n = 1; n <= count; n++) term *= mean / n;
  let tail = term;
  for (let n = count + 1; term > tail * 1e-12 || n <= mean; n++) {
    term *= mean / n;
    tail += term;
  }
  return Math.min(1, tail);
}
