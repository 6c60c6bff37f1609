/* Messages that a host rejects, and connections that it closes. */
#include <gtest/gtest.h>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

extern "C" {
#include "peer.h"
#include "tcp.h"
}

/* Sizes from which on an allocation fails; 0: none does. */
static size_t failing_calloc, failing_realloc;

extern "C" {
void *__real_calloc(size_t n, size_t size);
void *__real_realloc(void *p, size_t size);

void *__wrap_calloc(size_t n, size_t size)
{
	return failing_calloc && size == failing_calloc
		       ? nullptr
		       : __real_calloc(n, size);
}

void *__wrap_realloc(void *p, size_t size)
{
	return failing_realloc && size >= failing_realloc
		       ? nullptr
		       : __real_realloc(p, size);
}
}

namespace
{

const uint8_t kSecret[WIRE_SECRET_BYTES] = {7};

int FailCall(void *, const struct wire_opened *, struct fig_reply *)
{
	return -EPROTO;
}

void IgnoreMessage(void *, const struct wire_opened *)
{
}

class Peer : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		loop = ev_loop_new(0);
		Start();
		memset(&sender, 0, sizeof(sender));
		memcpy(sender.secret, kSecret, sizeof(kSecret));
		strcpy(sender.sender, "other");
		sender.boot = 5;
	}

	void TearDown() override
	{
		peer_finish(&peer);
		ev_loop_destroy(loop);
	}

	void Start()
	{
		int port = 27000 + getpid() % 2000;
		std::string addr = "127.0.4.77:" + std::to_string(port);

		own_addr = addr;
		ASSERT_EQ(0, peer_init(&peer, loop, addr.c_str(), "me", kSecret,
				       peer_wall_clock_ms() * 1000, FailCall,
				       IgnoreMessage, nullptr));
	}

	/* Receives a new message, or one with the last counter again. */
	int Receive(uint64_t sent_ms, bool replay = false)
	{
		struct fig_call call = {};
		struct wire_opened m;
		uint8_t *bytes;
		size_t n;
		int r;

		if (replay)
			sender.counter--;
		sender.sent_ms = sent_ms;
		call.kind = FIG_CONFIG_GET;
		EXPECT_EQ(0, wire_seal_call(&sender, 1, &call, &bytes, &n));
		r = peer_receive(&peer, bytes, n, &m);
		if (r == 0)
			wire_open_finish(&m);
		free(bytes);
		return r;
	}

	/* Returns the other end of a connection that the host accepted. */
	int Connect()
	{
		int fd[2];

		EXPECT_EQ(0, socketpair(AF_UNIX, SOCK_STREAM, 0, fd));
		fcntl(fd[1], F_SETFL, O_NONBLOCK);
		peer_conn_accept(&peer, fd[1]);
		return fd[0];
	}

	struct ev_loop *loop;
	std::string own_addr;
	struct peer peer;
	struct wire_sealer sender;
};

TEST_F(Peer, RejectsReplaysAlsoAfterRestart)
{
	uint64_t sent_ms = peer_wall_clock_ms() + 1;

	ASSERT_EQ(0, Receive(sent_ms));
	EXPECT_EQ(-EALREADY, Receive(sent_ms, true));
	peer_finish(&peer);
	Start();
	peer.sealer.boot += 2000000; /* as if started 2 s later */
	peer.start_ms += 2000;
	EXPECT_EQ(-ESTALE, Receive(sent_ms, true));
	EXPECT_EQ(1u, peer.counters.stale);
	EXPECT_EQ(0, Receive(peer.sealer.boot / 1000 + 1));
}

TEST_F(Peer, RejectsTimesOfSendingOutOfRange)
{
	peer.sealer.boot = 1;
	peer.start_ms = 0;
	EXPECT_EQ(0, Receive(peer_wall_clock_ms() - 20000));
	EXPECT_EQ(-ESTALE, Receive(peer_wall_clock_ms() - 40000));
	EXPECT_EQ(-ESTALE, Receive(peer_wall_clock_ms() + 40000));
}

/* Guards against a host that all others refuse for as long as its clock went back
 * between two starts, and that does not learn of it. */
TEST_F(Peer, TellsOfMessagesOfAnEarlierStart)
{
	static std::string told;

	told.clear();
	peer.on_refused = [](void *, const struct wire_opened *from,
			     uint64_t boot_us) {
		told += from->sender + std::string(" ") +
			std::to_string(boot_us) + ",";
	};
	sender.boot = 9;
	ASSERT_EQ(0, Receive(peer_wall_clock_ms() + 1));
	EXPECT_EQ(-EALREADY, Receive(peer_wall_clock_ms() + 1, true));
	EXPECT_EQ("", told) << "a replay";
	sender.boot = 7;
	EXPECT_EQ(-EALREADY, Receive(peer_wall_clock_ms() + 1));
	EXPECT_EQ("other 9,", told);
	sender.boot = 10;
	EXPECT_EQ(0, Receive(peer_wall_clock_ms() + 1));
	EXPECT_EQ("other 9,", told);
}

/* Guards against messages of others that are refused as sent before the start, since
 * this host raised it beyond its clock. */
TEST_F(Peer, AcceptsNewSendersAfterItRaisedItsStart)
{
	uint64_t boot_us = peer.sealer.boot;

	peer_raise_start(&peer, boot_us + 3600000000);
	EXPECT_EQ(boot_us + 3600000000, peer.sealer.boot);
	EXPECT_EQ(0, Receive(peer_wall_clock_ms() + 1));
	peer_raise_start(&peer, boot_us);
	EXPECT_EQ(boot_us + 3600000000, peer.sealer.boot) << "never lower";
}

TEST_F(Peer, EvictsSendersWhenTableIsFull)
{
	for (int i = 0; i < 2 * PEER_SENDERS_MAX; i++) {
		snprintf(sender.sender, sizeof(sender.sender), "h%d", i);
		ASSERT_EQ(0, Receive(peer_wall_clock_ms() + 1)) << i;
	}
	EXPECT_EQ(-EALREADY, Receive(peer_wall_clock_ms() + 1, true));
}

TEST_F(Peer, LimitsAndExpiresUnauthenticatedConns)
{
	int fd[PEER_UNAUTHENTICATED_MAX + 1];
	char c;

	for (int &f : fd)
		f = Connect();
	EXPECT_EQ((uint32_t)PEER_UNAUTHENTICATED_MAX, peer.conn_n);
	EXPECT_EQ(1u, peer.counters.conns_refused);
	peer_conn_sweep(&peer, ev_now(loop) + 1.);
	EXPECT_EQ((uint32_t)PEER_UNAUTHENTICATED_MAX, peer.conn_n);
	peer_conn_sweep(&peer, ev_now(loop) + 3.);
	EXPECT_EQ(0u, peer.conn_n);
	EXPECT_EQ(0u, peer.unauthenticated_n);
	for (int f : fd) {
		EXPECT_EQ(0, read(f, &c, 1));
		close(f);
	}
}

/* Guards against a call that is sent and carried out although the caller was told
 * that it was not. */
TEST_F(Peer, CallWithoutMemoryIsNotSent)
{
	struct fig_call call = {};
	auto ignore = [](void *, int, const struct fig_reply *) {};

	call.kind = FIG_CONFIG_GET;
	failing_calloc = sizeof(struct peer_pending_call);
	EXPECT_EQ(-ENOMEM, peer_call(&peer, own_addr.c_str(), &call, 100,
				     ignore, nullptr));
	failing_calloc = 0;
	ASSERT_EQ(1u, peer.conn_n);
	EXPECT_EQ(0u, TAILQ_FIRST(&peer.conns)->out.n);
	EXPECT_EQ(0u, peer.counters.sent);
}

/* Guards against a record that lacks its end, after which the other host reads no
 * further ones. */
TEST_F(Peer, RecordWithoutMemoryIsNotSentInPart)
{
	std::string big(100000, 'x');
	int fd = Connect();
	struct peer_conn *c = TAILQ_FIRST(&peer.conns);

	failing_realloc = 50000;
	EXPECT_EQ(-ENOMEM,
		  peer_conn_write(c, (const uint8_t *)big.data(), big.size()));
	failing_realloc = 0;
	EXPECT_EQ(0u, c->out.n);
	close(fd);
}

TEST_F(Peer, ExpiresIdleConnsAndConnsWithUnsentOutput)
{
	std::string big(100000, 'x');
	int idle = Connect(), stuck = Connect();
	struct peer_conn *c;

	TAILQ_FOREACH(c, &peer.conns, entry)
	c->unauthenticated = false;
	peer.unauthenticated_n = 0;
	c = TAILQ_LAST(&peer.conns, peer_conns);
	EXPECT_EQ(0,
		  peer_conn_write(c, (const uint8_t *)big.data(), big.size()));
	peer_conn_sweep(&peer, ev_now(loop) + 6.);
	EXPECT_EQ(1u, peer.conn_n);
	peer_conn_sweep(&peer, ev_now(loop) + 61.);
	EXPECT_EQ(0u, peer.conn_n);
	close(idle);
	close(stuck);
}

} // namespace
