/**
 * At most one run of an unrepeatable request with an idempotency key.
 *
 * <p>The package decides; the claims service of the proxy sends the messages and has to keep the rules below. The
 * simulation in the tests finds two runs of one key without the window of lists, the claim time, the wait of a starting
 * keeper, its collection of records, the handover or its repetition.
 *
 * <ul>
 *   <li>A claim identifier is used once, for one set of lists. The entry proxy asks all keepers of
 *       {@link org.cassiabank.once.ProxyListHistory#keeperSets} and decides with
 *       {@link org.cassiabank.once.ClaimQuorum#decideAll}. An entry proxy whose history does not cover the window
 *       refuses with {@code not-run}.
 *   <li>The entry proxy decides when all keepers have voted or the claim time has passed, and ignores later votes. If
 *       more than the claim time has passed when it decides, for example after a pause, it refuses with
 *       {@code not-run}.
 *   <li>After every decision but {@code Proceed} the entry proxy releases the claim at all keepers it asked. After
 *       {@code Proceed} it concludes at all of them; it releases only with proof that the request did not run.
 *   <li>A keeper that is not one under its own recent lists answers {@code NOT_READY}.
 *   <li>A keeper that starts waits for the claim time, then gets the records of every proxy in its list, and only then
 *       votes. A proxy that does not answer is waited for until the list no longer contains it: a claim can have
 *       been granted by that proxy and the starting one alone.
 *   <li>A keeper that sees a list change sends the records of {@link org.cassiabank.once.ClaimHandover#plan} at once
 *       and again after the spreading time, because entry proxies with the older list claim until then. A handover that
 *       fails is repeated. A keeper that stops first stops to vote.
 * </ul>
 *
 * <p>Under these rules lost, delayed and reordered messages, killed entry proxies, and one keeper at a time that loses
 * its memory or stops do no harm. A key can run twice only in these cases:
 *
 * <ul>
 *   <li>Every keeper that has a record of the first claim loses its memory before the first of these losses is made
 *       good. These are only two keepers if the message of the claim to the third was lost. A restart is made good when
 *       the records have been collected, a killed proxy when the list without it has spread and the repeated handover
 *       has arrived.
 *   <li>A list change takes longer than the spreading time to reach an entry proxy or a keeper. This includes parts of
 *       a region that cannot reach each other and have removed each other's proxies from their lists.
 *   <li>The repeat comes after the retention time.
 *   <li>With fewer than three failure domains two keepers stand in one, so that its loss is the first case.
 * </ul>
 */
package org.cassiabank.once;
