/*
 * Messages between gateways, and the store row by which gateways find each
 * other. Regenerate the C files after a change:
 *   rpcgen -M -h changes.x >changes.h; rpcgen -M -c changes.x >changes_xdr.c
 */

const CHANGE_TEXT_MAX = 64;	/* bytes */
const LOAD_REPORTS_MAX = 64;	/* per message; 768 bytes in all */
const OUTCOMES_MAX = 64;	/* per message; 768 bytes in all */
const STREAMS_MAX = 512;	/* per message; 4 KB in all */
const CRASHES_MAX = 64;		/* per message; 1 KB in all */
const EVACUATED_MAX = 64;	/* per message, as many as a registry keeps */
const ROUTERS_MAX = 4096;	/* per message; 32 KB in all */

typedef string change_text<CHANGE_TEXT_MAX>;

/* Current state of one upstream instance. */
struct change_entry {
	change_text id;
	bool gone;
	change_text service;
	change_text address;
	change_text domain;
	int slots;
	bool draining;
	hyper started_ms;
	unsigned int cold_left_ms;	/* until it takes its full load */
	hyper row_version;	/* store version of its row; 0: unknown */
};

/* Load that an instance reported in a response to a request. */
struct load_report {
	unsigned int id_hash;	/* low bits of the hash of its id */
	unsigned int requests;	/* running and waiting */
	unsigned int age_ms;	/* of the report, milliseconds */
};

/* Outcomes of attempts at an instance; older attempts count less. */
struct outcome_report {
	unsigned int id_hash;	/* low bits of the hash of its id */
	unsigned int failures;	/* hundredths of an attempt */
	unsigned int attempts;	/* hundredths of an attempt */
};

/* Streams in progress at one instance. */
struct stream_report {
	unsigned int id_hash;	/* low bits of the hash of its id */
	unsigned int streams;
};

/* A request that was in progress when an instance crashed. */
struct crash_report {
	unsigned hyper fingerprint;	/* hash of the request */
	unsigned hyper victim;	/* hash of the instance and its start */
};

/* Report from the routers of one failure domain to another one. */
struct domain_report {
	stream_report streams<STREAMS_MAX>;
	crash_report crashes<CRASHES_MAX>;
};

/* An evacuation of a failure domain that ended lately. */
struct evacuation_end {
	change_text domain;
	unsigned int age_ms;	/* since its end, milliseconds */
};

/* A poll: asks another router for the changes after a sequence. */
struct change_question {
	unsigned hyper epoch;	/* of the last answer; 0: none yet */
	unsigned hyper since;	/* sequence of that answer */
	hyper routing_row;	/* store version of the known configuration */
	hyper list_row;		/* of the known list of instances; 0: none */
	hyper reports_since;	/* clock of the last answer; 0: none yet */
	load_report reports<LOAD_REPORTS_MAX>; /* seen since the last poll */
	outcome_report outcomes<OUTCOMES_MAX>; /* since the last poll */
	/* Streams of the polling router and of the routers that poll it. */
	stream_report streams<STREAMS_MAX>;
	crash_report crashes<CRASHES_MAX>; /* known to the polling router */
	hyper routers_row;	/* of the known list of routers; 0: none */
};

struct change_answer {
	unsigned hyper epoch;	/* of the answering process */
	unsigned hyper sequence;
	bool full;		/* the entries replace the whole list */
	hyper routing_row;
	hyper list_row;
	/*
	 * Microseconds from the time when the data was last confirmed to the
	 * arrival of the poll; negative if it was confirmed after that.
	 */
	hyper routing_age;
	hyper instances_age;
	change_entry entries<>;
	unsigned int hops;	/* routers that the data has passed through */
	opaque packed<>;	/* a change_list, compressed, if full is set */
	hyper clock;		/* of the answering process, microseconds */
	load_report reports<LOAD_REPORTS_MAX>; /* newer than reports_since */
	outcome_report outcomes<OUTCOMES_MAX>; /* of all polling routers */
	stream_report streams<STREAMS_MAX>; /* of all but the polling router */
	crash_report crashes<CRASHES_MAX>; /* known to the answering router */
	hyper evacuations_row;	/* store version of the evacuated domains */
	change_text evacuated<EVACUATED_MAX>; /* failure domains */
	evacuation_end ended<EVACUATED_MAX>;
	hyper routers_row;	/* store version of the list of routers */
	/* Hashes of all routers; empty if the polling router knows them. */
	unsigned hyper routers<ROUTERS_MAX>;
};

/* The whole list of instances. */
struct change_list {
	change_entry entries<>;
};

/* Value of a router's row in the store. */
struct router_row {
	change_text domain;
	change_text address;	/* to which other routers connect */
};
