/*
 * ONC RPC protocol between routers. After a change, regenerate the C files:
 *   rpcgen -M -h peer.x >peer.h; rpcgen -M -c peer.x >peer_xdr.c
 */

const PEER_DIGEST_MAX = 8192;	/* bytes */
const PEER_FILTER_MAX = 1024;	/* bytes */
const PEER_TEXT_MAX = 16777216;	/* bytes */

typedef opaque peer_digest<PEER_DIGEST_MAX>;
typedef string peer_filter<PEER_FILTER_MAX>;
typedef opaque peer_text<PEER_TEXT_MAX>;

struct peer_settings {
	unsigned hyper revision;
	peer_text text;
};

program POPLARBEAM_PEER {
	version POPLARBEAM_PEER_V1 {
		peer_digest EXCHANGE(peer_digest) = 1;		/* UDP */
		peer_settings FETCH_SETTINGS(unsigned hyper) = 2; /* TCP */
		peer_text FETCH_EVENTS(peer_filter) = 3;	/* TCP */
	} = 1;
} = 0x20504231;	/* in the range of user-defined program numbers */
