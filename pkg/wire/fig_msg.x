/*
 * Messages between figbend hosts, carried by ONC RPC. The procedure number is
 * the discriminant of the call and of its reply. A new field goes to the end of
 * the struct of its message; a reader that does not know it skips it, and a
 * reader that misses it takes zero.
 */

const FIG_NAME_MAX = 63;
const FIG_BODY_MAX = 1048576;
const FIG_MAC_BYTES = 32;

typedef string fig_name<FIG_NAME_MAX>;

enum fig_kind {
	FIG_HEARTBEAT = 1,
	FIG_CONFIG_GET = 2,
	FIG_MEMBER_GET = 3,
	FIG_HEARD_GET = 4,
	FIG_GRANT = 5,
	FIG_RELEASE = 6,
	FIG_BOOK = 7,
	FIG_QUOTA_DRAW = 8,
	FIG_ROOM = 9,
	FIG_CRASH = 16,
	FIG_SHARE = 17,
	FIG_RECORDS_GET = 18,
	FIG_ROWS = 19,
	FIG_DIGEST = 20,
	FIG_SUSPECTS = 21,
	FIG_NOTICES = 22,
	FIG_START_KNOWN = 23,
	FIG_ROLLOUT = 24
};

/* Once an interval to hosts of the domain, over UDP; no reply. */
struct fig_heartbeat {
	fig_name host;
	fig_name domain;
	fig_name addr;
	unsigned hyper config_version;
	unsigned int state;
	unsigned hyper epoch_number;
	unsigned int epoch_is_current;
};

/* Asks for the configuration in force if it is newer than the one held. */
struct fig_config_get {
	unsigned hyper held_version;
};

struct fig_config_got {
	unsigned hyper config_version;
	string text<FIG_BODY_MAX>;
	unsigned hyper upto;
};

/* Asks for the membership epoch: as a checkpoint record, or "" if not newer. */
struct fig_member_get {
	unsigned hyper held_number;
};

struct fig_member_got {
	string text<FIG_BODY_MAX>;
};

/* Asks a monitor of a host how long ago it heard that start of it. */
struct fig_heard_get {
	fig_name host;
	unsigned hyper boot;
};

struct fig_heard_got {
	unsigned int silent_ms;
};

const FIG_CRASHES_MAX = 64;

/* Requests that ran on endpoints that crashed, over UDP; no reply. */
struct fig_crashed {
	unsigned hyper fingerprint;
	unsigned int held; /* the sender quarantined it */
};

struct fig_crash {
	fig_crashed crashed<FIG_CRASHES_MAX>;
};

const FIG_SUSPECTS_MAX = 64;
const FIG_BREAKS_MAX = 8;

/* A connection that broke at an endpoint before the answer had begun. */
struct fig_break {
	unsigned hyper endpoint; /* hash of its id and start */
	unsigned int age_ms;
	bool confirmed; /* the endpoint crashed */
};

/*
 * What the sender knows of a request or of a part of prompts; see poison.h. Times
 * are ages in milliseconds, all ones if there is none.
 */
struct fig_suspect {
	unsigned hyper key;
	unsigned int depth;
	unsigned int acquitted_ms;
	unsigned int explained_ms;
	unsigned hyper explained_by; /* a key, or 0 */
	unsigned int blocked_ms;
	bool proven;
	unsigned int blocks;
	fig_break brk<FIG_BREAKS_MAX>;
};

/* Over UDP, when an entry changes and now and then to a few hosts; no reply. */
struct fig_suspects {
	fig_suspect suspect<FIG_SUSPECTS_MAX>;
};

const FIG_NOTICES_MAX = 64;

/* What an endpoint said of itself in its answers. Ages are all ones if it said
 * nothing of the kind. */
struct fig_notice {
	unsigned hyper endpoint; /* hash of its id and start */
	unsigned int milli_per_s; /* limit; 0: none any more */
	unsigned int limit_age_ms;
	unsigned int leaving_age_ms;
};

/* Over UDP, now and then to a few hosts, and to all when one leaves; no reply. */
struct fig_notices {
	fig_notice notice<FIG_NOTICES_MAX>;
};

const FIG_ROOMS_MAX = 64;
const FIG_GRANTS_MAX = 4096;

/* What a run needs of one endpoint. */
struct fig_need {
	fig_name endpoint;
	unsigned int pieces;
	unsigned int tokens;
	unsigned int queue_max_tokens;
};

/* Asks the admitting host for slots; without a run it asks for the room only. */
struct fig_grant {
	fig_name run;
	unsigned int serial;
	fig_need need<FIG_ROOMS_MAX>;
};

/* The outcome for one endpoint and the room that is left there. */
struct fig_room {
	fig_name endpoint;
	unsigned int outcome;
	unsigned hyper fence;
	unsigned int slots_free;
	unsigned int pieces_free;
	unsigned int queued_tokens;
};

/* Also by itself, over UDP, to a host that was told that there is no room. */
struct fig_rooms {
	fig_room room<FIG_ROOMS_MAX>;
};

struct fig_released {
	fig_name endpoint;
	fig_name run;
	unsigned int serial;
	unsigned int end;
	unsigned int gap_us;
	unsigned int gap_target_us;
};

struct fig_release {
	fig_released released<FIG_ROOMS_MAX>;
};

/* A new admitting host asks the one before for its grants. */
struct fig_book {
	fig_name endpoint;
	unsigned hyper epoch;
};

struct fig_booked_grant {
	fig_name run;
	unsigned int serial;
	unsigned int pieces;
	unsigned int tokens;
	hyper start_in_us;
	bool released;
	bool seen;
};

struct fig_booked {
	bool stale;
	bool complete;
	unsigned hyper fence;
	unsigned hyper boot;
	unsigned int window;
	fig_booked_grant grant<FIG_GRANTS_MAX>;
};

/* Asks a home of an account for tokens; stands for all that the caller holds. */
struct fig_quota_draw {
	fig_name account;
	unsigned hyper seq;
	unsigned hyper unspent_tokens;
	unsigned hyper returned_tokens;
	unsigned hyper prompt_tokens;
	unsigned hyper stream_tokens;
	unsigned hyper extra_tokens;
	unsigned hyper pace_tokens_s;
};

struct fig_quota_grant {
	unsigned hyper seq;
	unsigned hyper tokens;
	unsigned hyper left_tokens;
	unsigned hyper rate_tokens_s;
};

const FIG_SPENT_MAX = 1024;
const FIG_LOADS_MAX = 1024;
const FIG_TOPICS = 2;

/* What a host let through for an account since its start, in the limit's unit. */
struct fig_spent {
	fig_name account;
	unsigned hyper amount;
};

/* What a host has at an endpoint now. */
struct fig_load {
	fig_name endpoint;
	unsigned int running;
	unsigned int tokens;
	unsigned int prompt_tokens;
};

enum fig_following {
	FIG_FOLLOWS = 0, /* reads the store's streams itself */
	FIG_TURNED_AWAY = 1,
	FIG_LEAVES_IT = 2 /* to other hosts of its domain */
};

/*
 * A host's report of itself, over UDP: once an interval to all hosts, or if there
 * are many, to the delegates of its domain. No reply, but to one that asks.
 */
struct fig_share {
	fig_name domain;
	fig_name addr;
	unsigned hyper upto[FIG_TOPICS]; /* positions: it holds all records before */
	unsigned int following; /* enum fig_following */
	fig_spent spent<FIG_SPENT_MAX>;
	fig_load load<FIG_LOADS_MAX>;
	unsigned hyper hosts_upto; /* records of hosts that it holds */
	unsigned hyper uptime_ms;
	unsigned int waiting; /* requests that wait for an endpoint */
	bool asks; /* for a digest */
	fig_spent refused<FIG_SPENT_MAX>; /* of accounts, since its start */
	/* Since minor 6. For each topic, how long ago the store held no record after
	 * upto, in milliseconds; all ones if that is unknown. */
	unsigned int age_ms<FIG_TOPICS>;
};

const FIG_STREAMS = 3;
const FIG_DOMAINS_MAX = 64;
const FIG_TOTALS_MAX = 2048;
const FIG_ROWS_MAX = 1024;

/* Names are replaced by the hashes of pkg/relay in what follows. */

/* Load at one endpoint: KV tokens in use, or prompt tokens to be processed. */
struct fig_total {
	unsigned int endpoint;
	unsigned int running;
	unsigned int tokens;
};

/* Consumption of an account since the start of the sender, less refunds. */
struct fig_account_total {
	unsigned hyper account;
	hyper amount;
};

/* What a delegate knows of a host, from its report with this counter. */
struct fig_host_row {
	unsigned hyper host;
	unsigned hyper boot;
	unsigned hyper counter;
	unsigned int age_ms; /* since the delegate received the report */
	unsigned int waiting;
	fig_total load<FIG_TOTALS_MAX>;
};

/* From a delegate to the other delegates, over UDP; no reply. */
struct fig_rows {
	fig_name domain;
	fig_name addr;
	unsigned hyper upto[FIG_STREAMS];
	unsigned int following;
	fig_account_total spent<FIG_TOTALS_MAX>; /* by the domain's hosts */
	fig_host_row row<FIG_ROWS_MAX>; /* of the domain */
	unsigned int age_ms<FIG_TOPICS>; /* as in fig_share */
};

struct fig_domain_hosts {
	fig_name domain;
	unsigned int known; /* hosts */
	unsigned int alive; /* of these */
};

/* From a delegate to a host that asked for it, over UDP: all other hosts. */
struct fig_digest {
	fig_name domain;
	fig_name addr;
	unsigned hyper upto[FIG_STREAMS];
	unsigned int following;
	bool complete; /* false: the delegate does not know all hosts yet */
	unsigned int oldest_ms; /* age of the oldest row that it sums up */
	unsigned int waiting; /* requests, of all other hosts */
	fig_domain_hosts domains<FIG_DOMAINS_MAX>; /* all hosts are counted */
	fig_account_total spent<FIG_TOTALS_MAX>;
	fig_total load<FIG_TOTALS_MAX>;
	unsigned int age_ms<FIG_TOPICS>; /* as in fig_share */
};

const FIG_RECORDS_MAX = 8192;

/* Asks for the newest records of a stream from a position on (pkg/record). */
struct fig_records_get {
	unsigned int topic;
	unsigned hyper from;
	bool takes_packed; /* since minor 4: compressed values in the reply */
	bool takes_kept;   /* since minor 5: a reply with keeps set */
};

typedef string fig_key<255>;

struct fig_record {
	fig_key key;
	opaque value<FIG_BODY_MAX>;
	bool gone;
	unsigned hyper offset; /* its position */
};

struct fig_records_got {
	unsigned int topic;
	unsigned hyper upto;
	fig_record record<FIG_RECORDS_MAX>;
	/* Since minor 4. The bytes of each value before it was compressed, 0 for a
	 * value that was not. */
	unsigned int unpacked_bytes<FIG_RECORDS_MAX>;
	/* Nothing is sent now; instead has the records or is about to get them. */
	bool busy;
	fig_name *instead;
	/* Since minor 5. If keeps is set, the sender does not know all deletions since
	 * the position asked for: of the keys with an earlier record, those in kept
	 * exist, and the others were deleted. */
	bool keeps;
	fig_key kept<FIG_RECORDS_MAX>;
};

/*
 * Sent to a host whose messages are refused, since the sender knows a later start of
 * it: the time of day at that host may have gone back. Over UDP; no reply.
 */
struct fig_start_known {
	unsigned hyper boot; /* of that start */
};

/*
 * The progress of an order of a rollout, as the sender knows it. Over UDP, to all
 * hosts when it changes, and now and then to a few; no reply.
 */
struct fig_rollout {
	fig_name service;
	unsigned hyper position;  /* of the order in the store (pkg/record) */
	unsigned hyper text_hash; /* namehash() of the order's text */
	unsigned int stage;       /* enum rollout_stage */
	unsigned hyper elapsed_ms; /* since the order */
};

union fig_call switch (fig_kind kind) {
case FIG_HEARTBEAT:
	fig_heartbeat heartbeat;
case FIG_CONFIG_GET:
	fig_config_get config_get;
case FIG_MEMBER_GET:
	fig_member_get member_get;
case FIG_HEARD_GET:
	fig_heard_get heard_get;
case FIG_CRASH:
	fig_crash crash;
case FIG_GRANT:
	fig_grant grant;
case FIG_RELEASE:
	fig_release release;
case FIG_BOOK:
	fig_book book;
case FIG_QUOTA_DRAW:
	fig_quota_draw quota_draw;
case FIG_ROOM:
	fig_rooms room;
case FIG_SHARE:
	fig_share share;
case FIG_RECORDS_GET:
	fig_records_get records_get;
case FIG_ROWS:
	fig_rows rows;
case FIG_DIGEST:
	fig_digest digest;
case FIG_SUSPECTS:
	fig_suspects suspects;
case FIG_NOTICES:
	fig_notices notices;
case FIG_START_KNOWN:
	fig_start_known start_known;
case FIG_ROLLOUT:
	fig_rollout rollout;
};

union fig_reply switch (fig_kind kind) {
case FIG_HEARTBEAT:
	void;
case FIG_CONFIG_GET:
	fig_config_got config_got;
case FIG_MEMBER_GET:
	fig_member_got member_got;
case FIG_HEARD_GET:
	fig_heard_got heard_got;
case FIG_CRASH:
	void;
case FIG_GRANT:
	fig_rooms granted;
case FIG_RELEASE:
	fig_rooms released;
case FIG_BOOK:
	fig_booked booked;
case FIG_QUOTA_DRAW:
	fig_quota_grant quota_grant;
case FIG_ROOM:
	void;
case FIG_SHARE:
	void;
case FIG_RECORDS_GET:
	fig_records_got records_got;
case FIG_ROWS:
	void;
case FIG_DIGEST:
	void;
case FIG_SUSPECTS:
	void;
case FIG_NOTICES:
	void;
case FIG_START_KNOWN:
	void;
case FIG_ROLLOUT:
	void;
};

/* What stands behind the RPC header: who sent it, and proof that it belongs. */
struct fig_sealed {
	unsigned int minor;
	fig_name sender;
	unsigned hyper boot;
	unsigned hyper counter;
	unsigned hyper sent_ms; /* since the epoch, by the sender's clock */
	opaque body<FIG_BODY_MAX>;
	opaque mac[FIG_MAC_BYTES];
};

program FIGBEND_PROG {
	version FIGBEND_VERS {
		void FIGBEND_NULL(void) = 0;
	} = 1;
} = 0x20464942;
