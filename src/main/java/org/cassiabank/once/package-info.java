/**
 * Lets an unrepeatable request with an idempotency key run at most once.
 *
 * <p>Three proxies, the keepers of a key, record which request has claimed it. An entry proxy, which received the
 * request from the caller, claims the key at the keepers before it sends the request to a backend server. This package
 * holds the records and makes the decisions; {@code ClaimClient} and {@code ClaimKeeper} of the proxy send the messages
 * and have to follow the rules below. The simulation in the tests finds two runs of one key without the window of
 * lists, the claim timeout, the wait of a starting keeper, its collection of records, the handover or its repetition.
 *
 * <ul>
 *   <li>A claim identifier is used once, for one set of lists. The entry proxy asks all keepers of
 *       {@link org.cassiabank.once.ProxyListHistory#keeperSets} and decides with
 *       {@link org.cassiabank.once.ClaimQuorum#decideAll}. An entry proxy whose history does not cover the window
 *       refuses with {@code not-run}.
 *   <li>The entry proxy decides when all keepers have voted or the claim timeout has passed, and ignores later votes.
 *       If more than the claim timeout has passed when it decides, for example after a pause of the process, it refuses
 *       with {@code not-run}.
 *   <li>After every decision but {@code Proceed} the entry proxy releases the claim at all keepers it asked. After
 *       {@code Proceed} it concludes the claim at all of them; it releases only with proof that the request did not
 *       run.
 *   <li>A proxy that is asked as a keeper, but is not one under its own recent lists, votes {@code NOT_READY}.
 *   <li>A keeper that starts waits for the claim timeout, then gets the records of every proxy in its list, and only
 *       then votes. It waits for a proxy that does not respond until the list no longer contains that proxy: a claim
 *       can have been granted by that proxy and the starting one alone.
 *   <li>A keeper that observes a list change sends the records of
 *       {@link org.cassiabank.once.ClaimHandover#planHandover} at once and again after the propagation time of list
 *       changes, because entry proxies with the older list claim until then. A handover that fails is
 *       repeated. A keeper that shuts down stops voting before it hands over.
 * </ul>
 *
 * <p>Under these rules a key runs at most once despite lost, delayed and reordered messages, killed entry proxies, and
 * one keeper at a time that loses its records or stops. A key can run twice only in these cases:
 *
 * <ul>
 *   <li>Every keeper that has a record of the first claim loses its records before the first of these losses has been
 *       recovered. These are only two keepers if the claim message to the third was lost. The loss by a restart is
 *       recovered when the records have been collected, that of a killed proxy when the list without it has reached
 *       every proxy and the repeated handover has arrived.
 *   <li>A list change takes longer than the propagation time to reach an entry proxy or a keeper. This includes parts
 *       of a region that cannot reach each other and have removed each other's proxies from their lists.
 *   <li>The request is repeated after the retention time.
 *   <li>With fewer than three failure domains two keepers are in the same one, so that its failure is the first case.
 * </ul>
 */
package org.cassiabank.once;
