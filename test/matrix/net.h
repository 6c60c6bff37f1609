#ifndef FIGBEND_MATRIX_NET_H
#define FIGBEND_MATRIX_NET_H

#include <map>
#include <memory>
#include <set>
#include <string>

#include "clock.h"

/*
 * The network of one run: HTTP calls of the daemons to fake servers, messages
 * between daemons, and callers' calls to daemons. It stands in for the packages
 * fetch, peer and httpd. Failure domains can be cut off from each other.
 */

struct fetch_transfer;
struct httpd;
struct httpd_call;
struct peer;

namespace matrix
{

constexpr int64_t kNetUs = 1 * kMsUs;

/* One HTTP call at a fake server. */
class Exchange
{
      public:
	std::string method;
	std::string path; /* with the query */
	std::string body;
	std::string headers;
	Process *from = nullptr;
	uint64_t connection = 0;

	void Answer(unsigned int status, const std::string &body);
	void Stream(const std::string &bytes);
	void End();   /* of a stream */
	void Break(); /* the connection breaks */
	bool Open() const
	{
		return transfer != nullptr;
	}

	struct fetch_transfer *transfer = nullptr; /* null once it is over */
	class Server *server = nullptr;
};
using Call = std::shared_ptr<Exchange>;

/* A program that daemons call: an engine, a service or the platform. */
class Server
{
      public:
	Server(std::string name, std::string domain, std::string addr);
	virtual ~Server();
	virtual void Handle(const Call &call) = 0;
	void BreakAll();

	std::string name;
	std::string domain; /* "" is everywhere */
	std::string addr;
	bool down = false;	    /* refuses connections */
	uint64_t silent_before = 0; /* connections made before are silent */
	std::set<Call> open;
	bool saw_key = false;
};

struct Net {
	std::map<std::string, Server *> servers; /* by address */
	std::map<std::string, struct peer *> peers;
	std::map<std::string, struct httpd *> listeners;
	uint64_t connections = 0;
	bool domains_cut = false;
	std::set<std::string> cut_from_platform; /* domains */
	uint32_t lose_messages = 0;   /* the next datagrams are lost */
	uint32_t double_messages = 0; /* the next datagrams come twice */
	uint32_t fail_cancels = 0;    /* the next cancels cannot be started */
	uint64_t seen_not_json = 0;

	bool Reachable(const std::string &domain, const Server &s) const;
	bool Reachable(const std::string &domain,
		       const std::string &other) const;
};

Net &TheNet();

/* A call of a caller to a daemon, and what came back. */
struct Client {
	unsigned int status = 0;
	std::string body;
	bool complete = false;
	bool broken = false;
	bool gone = false; /* hung up */
	struct httpd_call *call = nullptr;
	std::function<void()> changed;
};

void ClientCall(Client *c, const std::string &addr, const std::string &method,
		const std::string &path,
		const std::map<std::string, std::string> &headers,
		const std::string &body);
void ClientHangUp(Client *c);
/* The daemon's process died: its callers' connections break. */
void ClientsBreak(Process *p);
void ClientsFinish();

} // namespace matrix

#endif
