/** Messages between the proxies of one fleet. Durations are in milliseconds unless the name says otherwise. */
namespace java org.cassiabank.peer.generated

enum OutcomeKind {
  /** The backend server answered and the answer was whole. */
  ANSWERED = 1,
  /** The backend server answered with a server error or an answer of another request. */
  FAILED = 2,
  /** The connection broke after bytes were written, or the answer ended early. */
  BROKEN = 3,
  /** The request provably never ran. */
  NOT_RUN = 4,
  /** The entry cancelled the request because its caller had gone or another attempt had answered. */
  CANCELLED = 5,
  /** No whole answer came in time. */
  OVERDUE = 6,
}

/** A limit that a backend server named in a response to the entry. */
struct KnownRateLimit {
  1: required string server,
  2: required double requestsPerSecond,
  3: required i64 ageMillis,
}

/** One start of a backend server. */
struct StartedServer {
  1: required string server,
  /** Differs between the starts of a server under one name, 0 if the platform does not report it. */
  2: required i64 incarnation,
}

struct SlotRequest {
  1: required string entry,
  2: required string serviceName,
  3: required string selector,
  4: required string route,
  5: required string caller,
  6: required bool repeatable,
  7: required i64 remainingMillis,
  8: required list<string> excluded,
  9: required i32 shard,
  /** The ticket of an earlier reply, 0 for a new request. */
  11: required i64 ticket,
  /** The name of a CostHint. */
  12: required string cost,
  /** The labels that a server must carry. */
  13: required map<string, string> servers,
  /** The number of this attempt at the request, 1 for the first one. */
  14: required i32 attempt,
  /** The failure domain of the entry. */
  15: required string failureDomain,
  /** The servers to which the entry holds an idle connection. */
  16: required list<string> connected,
  /** The rank among requests that compete for slots; 0 is the most urgent. */
  17: required i32 urgency,
  /** What is left of the time in which the caller expects an answer, 0 if none is stated or left. */
  18: required i64 targetMillis,
  /** The limits of servers of the shard; missing if there are none or the owner was told a moment ago. */
  19: optional list<KnownRateLimit> rateLimits,
  /** Identifies the request in further attempts and repetitions by its caller, as hexadecimal digits. */
  20: optional string digest,
  /** Servers of the shard that the entry knows to be leaving; missing if there are none. */
  21: optional list<StartedServer> leavingServers,
  /** The customer's weight in the sharing of slots; missing if it is 1. */
  22: optional double customerWeight,
  /** The whole time in which the caller expects an answer; missing if targetMillis says it. */
  23: optional i64 statedTargetMillis,
  /** The entry has narrow links: a server of another failure domain costs by the bytes of the route's messages. */
  24: optional bool narrowLinks,
  /** The entry knows the refusal reason QUOTA; an entry of an earlier release does not. */
  25: optional bool knowsQuotas,
}

/** How busy the servers of a shard are, for the choice between several shards of a service. */
struct ShardLoad {
  1: required i32 usableSlots,
  2: required i32 leasedSlots,
  3: required i32 queuedRequests,
}

struct SlotGrant {
  1: required i64 lease,
  2: required string server,
  3: required string address,
  4: required i64 leaseMillis,
  /** Time after which a hedge is worth its cost; 0 when none is. */
  5: required i64 hedgeAfterMillis,
  /** Missing if the service has one shard. */
  6: optional ShardLoad load,
}

struct SlotRefusal {
  1: required string reason,
  2: required i64 retryAfterMillis,
  /** As in SlotGrant. */
  3: optional ShardLoad load,
}

/** The request is in the queue; the entry presents the ticket in its next acquire. */
struct SlotQueued {
  1: required i64 ticket,
  /** As in SlotGrant. */
  2: optional ShardLoad load,
}

/** The daemon has just started and knows no server yet; the next candidate has to be asked. */
exception NotReady {
  1: required string missing,
}

union SlotReply {
  1: SlotGrant grant,
  2: SlotRefusal refusal,
  3: SlotQueued queued,
}

/** What a response says of the rate of requests that its server accepts from all proxies together. */
union RateLimit {
  1: double requestsPerSecond,
  /** The response names no limit. */
  2: bool unlimited,
}

struct SlotOutcome {
  1: required string serviceName,
  2: required i32 shard,
  3: required i64 lease,
  4: required OutcomeKind kind,
  5: required i64 latencyMicros,
  /** The server's answer said that it is leaving. */
  6: required bool serverLeaving,
  /** Missing if there was no response. */
  7: optional RateLimit rateLimit,
  /** With BROKEN: the digest of the request and the server, for an owner that does not know the lease. */
  8: optional string digest,
  9: optional string server,
  /** With BROKEN: the server sent bytes that are no valid response, so its process has not ended. */
  10: optional bool serverResponded,
  /** With a response, if the entry has narrow links: the bytes of the bodies of the request and the response. */
  11: optional i64 requestBytes,
  12: optional i64 responseBytes,
}

/** A server process whose connection broke while it ran a request. */
struct BrokenProcess {
  1: required string server,
  2: required i64 incarnation,
  3: required i64 ageMillis,
  /** A later answer showed that the request did not end the process. */
  4: required bool refuted,
}

/** A request that may end the servers that run it. */
struct Suspect {
  1: required string digest,
  2: required string serviceName,
  3: required list<BrokenProcess> processes,
}

/** One configuration change as its JSON document in the store. */
struct ChangeDocument {
  1: required i64 revision,
  2: required binary document,
}

/** The instance list of the platform, or the difference to an older one. */
struct InstanceListDocument {
  1: required i64 index,
  /** The instances as the platform's JSON document; those that changed if there is a base index. */
  2: required binary document,
  /** The index of the list that the difference applies to, 0 if the document holds the whole list. */
  3: required i64 baseIndex,
  /** The names of the instances that the newer list lacks. */
  4: required list<string> removed,
  /** The digest of the newer list. */
  5: required i64 digest,
}

struct ExchangeRequest {
  1: required string peer,
  2: required i64 revision,
  3: required i64 listIndex,
  4: optional list<ChangeDocument> changes,
  5: optional InstanceListDocument instances,
  /** A whole configuration, sent in place of changes to a peer that is too far behind. */
  6: optional ChangeDocument snapshot,
}

struct ExchangeReply {
  1: required i64 revision,
  2: required i64 listIndex,
  3: optional list<ChangeDocument> changes,
  4: optional InstanceListDocument instances,
  5: optional ChangeDocument snapshot,
}

enum StoreRelayState {
  /** The changes are complete up to the revision, which the store confirmed a moment ago. */
  CURRENT = 1,
  /**
   * The peer does not watch the store, has not heard from it for too long, or no longer keeps all these changes. If it
   * names an era, it has read the store in that era, which is not the requested one.
   */
  UNAVAILABLE = 2,
}

/** A change of a key in the platform's store. */
struct StoreChange {
  1: required string key,
  /** Missing if the key was removed. */
  2: optional binary value,
  3: required i64 revision,
}

/** The changes of the store after a revision, as a daemon that watches the store passes them on. */
struct StoreChanges {
  1: required StoreRelayState state,
  2: required i64 revision,
  3: required list<StoreChange> changes,
  /** How long entries that expired in an outage of the store are still to be retained. */
  4: required i64 graceMillis,
  /** The era of the store to which the revisions belong, 0 or missing if the store names none. */
  5: optional i64 era,
  /**
   * How long before the arrival of the call the store had confirmed the revision, negative if it did so during the wait;
   * missing if the daemon is of an earlier release.
   */
  6: optional i64 confirmedBeforeCallMillis,
}

enum ClaimState {
  /** The key was not known; it is now held by the claim of this request. */
  GRANTED = 1,
  /** Another claim holds the key and has not ended. */
  IN_PROGRESS = 2,
  /** The key has a recorded answer. */
  ANSWERED = 3,
  /** The claim that held the key ended without a known outcome. */
  UNKNOWN = 4,
  /** The keeper has not yet received the records of its peers, or has no room. */
  NOT_READY = 5,
  /** The key was used with a different request. */
  MISMATCH = 6,
}

struct RecordedAnswer {
  1: required i32 status,
  2: required map<string, list<string>> headers,
  3: required binary body,
  /** In the reply to a forwarded request: servers that the peer knows to be leaving; missing if there are none. */
  4: optional list<StartedServer> leavingServers,
}

struct ClaimRecord {
  1: required string key,
  2: required string claim,
  3: required i64 requestDigest,
  4: required ClaimState state,
  5: required i64 ageMillis,
  6: optional RecordedAnswer answer,
}

struct ClaimReply {
  1: required ClaimState state,
  2: optional RecordedAnswer answer,
}

/** A request of a caller that an entry which reaches no backend server passes on. */
struct ForwardedRequest {
  /** Names the request in cancelForwarded. */
  1: required string id,
  2: required string method,
  3: required string target,
  4: required map<string, list<string>> headers,
  5: required binary body,
  /** The address of the caller. */
  6: required string remoteAddress,
  7: required i64 remainingMillis,
  /** The attempts that may have reached a backend server already. */
  8: required i32 attempts,
  /** Servers that the entry knows to be leaving; missing if there are none. */
  9: optional list<StartedServer> leavingServers,
  /** The revision of the configuration by which the request is to be handled; a peer with another one declines. */
  10: optional i64 configurationRevision,
  /** With forwardForCustomer: the name of the customer whose key the entry has checked. */
  11: optional string customer,
}

union ForwardedReply {
  /** The answer of a backend server. */
  1: RecordedAnswer answer,
  2: SlotRefusal notRun,
  /** The request may have run, for this reason. */
  3: string unknown,
  /** The peer does not carry out the request, for this reason. It has not run; another peer may be asked. */
  4: string declined,
}

/** The use of one customer at a participant. Totals count from the start of the participant's process. */
struct QuotaUse {
  1: required string customer,
  /** The latest lease of the receiver that the participant applied, 0 for none. */
  2: required i64 leaseNumber,
  3: required i64 total,
  4: required i64 usedInWindow,
  /** The requests refused since the last report. */
  5: required i64 refused,
  /** The part of the limit that the participant is entitled to without a coordinator. */
  6: required double fallbackShare,
  /** The participant gives up its lease. */
  7: optional bool ended,
  /** The participant has an unexpired lease, of whichever coordinator. */
  8: required bool holdsLease,
}

struct QuotaReport {
  1: required string participant,
  /** Differs between the processes of the participant. */
  2: required i64 incarnation,
  3: required list<QuotaUse> uses,
}

/** What a participant may run for one customer. */
struct QuotaLease {
  1: required string customer,
  2: required i64 number,
  /** The total of charged requests that the participant may reach. */
  3: required i64 ceiling,
  /** The customer is far from its limit. */
  4: required bool open,
  /** Counts from the time at which the participant sent its report. */
  5: required i64 leaseMillis,
  6: required double fallbackShare,
  7: required i64 retryAfterMillis,
}

service Peer {
  SlotReply acquire(1: SlotRequest request) throws (1: NotReady notReady),
  void report(1: SlotOutcome outcome),
  ExchangeReply exchange(1: ExchangeRequest request),
  /** Waits for changes of the store after a revision of an era; a peer of a release without eras names none. */
  StoreChanges storeChanges(1: i64 afterRevision, 2: i64 waitMillis, 3: i64 afterEra),
  ClaimReply claim(1: string key, 2: string claim, 3: i64 requestDigest),
  /** Ends a claim: ANSWERED with an answer, UNKNOWN, or GRANTED to release a claim whose request never ran. */
  void conclude(1: string key, 2: string claim, 3: ClaimState state, 4: RecordedAnswer answer),
  /** Hands records to a new keeper. */
  void handOver(1: list<ClaimRecord> records),
  /** Carries out a request for an entry that reaches no backend server; it is not passed on again. */
  ForwardedReply forward(1: ForwardedRequest request),
  /**
   * As forward, for a request of the customer that it names. The peer declines unless the named revision is in force
   * there and declares the customer.
   */
  ForwardedReply forwardForCustomer(1: ForwardedRequest request),
  /** Ends a forwarded request whose caller has gone. */
  void cancelForwarded(1: string id),
  /** Tells a daemon that may own the shards of the requests next. */
  void recordSuspects(1: list<Suspect> suspects),
  /** The suspected requests for a service, asked for by a daemon that begins to own a shard. */
  list<Suspect> suspects(1: string serviceName),
  /** Records that the caller should keep, asked for by a daemon that has just started. */
  list<ClaimRecord> recordsFor(1: string peer),
  /** Reports the use of customers to their coordinator, which renews the leases. */
  list<QuotaLease> exchangeQuotas(1: QuotaReport report),
}
