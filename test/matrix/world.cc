#include "world.h"

#include <algorithm>
#include <cstring>

#include <json-c/json.h>

extern "C" {
#include "logline.h"
#include "textgen.h"
}

namespace matrix
{

namespace
{

constexpr int64_t kSettled = 25 * kSecondUs;
World *the_world;

std::string Hex(const uint8_t *bytes, size_t n)
{
	std::string s(2 * n + 1, '\0');

	config_key_hex(bytes, n, &s[0]);
	s.resize(2 * n);
	return s;
}

/* Returns the string member of the error object in an answer, or "". */
std::string ErrorMember(const std::string &text, const char *name)
{
	struct json_object *o = json_tokener_parse(text.c_str());
	struct json_object *error, *v;
	std::string s;

	if (json_object_object_get_ex(o, "error", &error) &&
	    json_object_object_get_ex(error, name, &v))
		s = json_object_get_string(v);
	json_object_put(o);
	return s;
}

/* Calls fn with the JSON of each server-sent event. */
void EachEvent(const std::string &body,
	       const std::function<void(const std::string &)> &fn)
{
	size_t at = 0;

	while ((at = body.find("data: ", at)) != std::string::npos) {
		size_t end = body.find("\n", at);

		at += strlen("data: ");
		if (end == std::string::npos)
			return;
		fn(body.substr(at, end - at));
		at = end;
	}
}

} // namespace

std::string Caller::Text() const
{
	std::string text;

	if (!Last())
		return text;
	EachEvent(Last()->body, [&text](const std::string &json) {
		struct json_object *o = json_tokener_parse(json.c_str());
		struct json_object *choices, *v;

		if (json_object_object_get_ex(o, "choices", &choices) &&
		    json_object_object_get_ex(
			    json_object_array_get_idx(choices, 0), "text", &v))
			text += json_object_get_string(v);
		json_object_put(o);
	});
	return text;
}

std::string Caller::Expected() const
{
	uint64_t hash = textgen_hash(prompt.data(), prompt.size(), 0);
	char token[TEXTGEN_TOKEN_BYTES];
	std::string s;

	for (uint32_t i = 0; i < textgen_output_tokens(hash, max_tokens); i++) {
		textgen_write_token(hash, i, token);
		s += token;
	}
	return s;
}

bool Caller::WholeEnded() const
{
	if (!Last() || !Last()->complete || Last()->status != 200)
		return false;
	return service || Last()->body.find("[DONE]") != std::string::npos;
}

bool Caller::Whole() const
{
	return WholeEnded() && (service || Text() == Expected());
}

std::string Caller::Code() const
{
	std::string code;

	if (!Last())
		return "";
	if (Last()->status != 200)
		return ErrorMember(Last()->body, "code");
	EachEvent(Last()->body, [&code](const std::string &json) {
		if (json.find("\"error\"") != std::string::npos)
			code = ErrorMember(json, "code");
	});
	return code;
}

std::string Caller::RefusedId() const
{
	return Last() ? ErrorMember(Last()->body, "request_id") : "";
}

bool Caller::SaidNotRun() const
{
	return Last() && Last()->status != 200 &&
	       ErrorMember(Last()->body, "not_run") == "true";
}

World::World()
{
	struct config_key k;
	char text[CONFIG_KEY_TEXT_BYTES];
	int port = 1000;

	TheClock().Reset();
	TheNet() = Net();
	the_world = this;
	logline_init("matrix", -1);
	config_key_generate(text, &k);
	key_text = text;
	key_declared_ = std::string("\"id\":\"") + k.id + "\",\"salt\":\"" +
			Hex(k.salt, sizeof(k.salt)) + "\",\"hash\":\"" +
			Hex(k.hash, sizeof(k.hash)) + "\"";
	platform = std::make_unique<Platform>("127.0.0.1:999");
	for (const char *d : {"a", "b"}) {
		std::string domain = d;

		for (const char *role :
		     {"-p1", "-p2", "-p3", "-d1", "-d2", "-d3"})
			engines.push_back(std::make_unique<Engine>(
				domain + role, domain,
				"127.0.0.1:" + std::to_string(port++),
				role[1] == 'd'));
		services.push_back(std::make_unique<Service>(
			domain + "-s", domain,
			"127.0.0.1:" + std::to_string(port++)));
	}
	Start("a1", "a", 0);
	Start("b1", "b", 1);
	Start("a2", "a", 2);
	Start("b2", "b", 3);
	TheClock().After(kSecondUs, [this] { Declare(); });
	platform->on_claim = [this](const std::string &what) {
		if (what == "read" && claimed_)
			Enter(kReadBack);
		else if (what == "read")
			return; /* hosts follow the stream all the time */
		claimed_ = true;
		if (what.find("outcome") != std::string::npos)
			Enter(kRecord);
		else
			Enter(kClaim);
	};
	for (auto &s : services)
		s->on_call = [this] { Enter(kSend); };
	Watch();
	TheClock().RunUntil(kSettled);
}

World::~World()
{
	for (auto &h : hosts) {
		current_process = &h->process;
		daemon_finish(h->daemon.get());
	}
	current_process = nullptr;
	for (auto &c : callers)
		c->clients.clear();
	ClientsFinish();
	TheClock().Reset();
	the_world = nullptr;
}

void World::Start(const std::string &name, const std::string &domain,
		  int number)
{
	auto h = std::make_unique<Host>();
	struct jread_errors faults;
	struct settings s;
	std::string port = std::to_string(number);
	std::string text = "{\"host\":\"" + name + "\",\"domain\":\"" + domain +
			   "\",\"caller_addr\":\"127.0.0.1:200" + port +
			   "\",\"admin_addr\":\"127.0.0.1:300" + port +
			   "\",\"peer_addr\":\"127.0.0.1:400" + port +
			   "\",\"platform_url\":\"http://127.0.0.1:999\"}";
	uint8_t secret[SETTINGS_SECRET_BYTES] = {7};

	jread_errors_init(&faults);
	if (settings_parse(&s, text.data(), text.size(), "s", &faults) < 0)
		abort();
	jread_errors_free(&faults);
	h->process.name = name;
	h->process.domain = domain;
	h->caller_addr = s.caller_addr;
	h->daemon = std::make_unique<struct daemon>();
	current_process = &h->process;
	if (daemon_init(h->daemon.get(), &s, secret) < 0)
		abort();
	current_process = nullptr;
	hosts.push_back(std::move(h));
}

/* Notes each configuration version that a host has. */
void World::Watch()
{
	TheClock().after_each = [this] {
		for (auto &h : hosts) {
			uint64_t v = h->Version();

			if (h->versions.empty() || h->versions.back() != v)
				h->versions.push_back(v);
		}
	};
}

Engine *World::Find(const std::string &name)
{
	for (auto &e : engines)
		if (e->name == name)
			return e.get();
	return nullptr;
}

Host *World::Other(Host *h)
{
	for (auto &each : hosts)
		if (each->process.alive &&
		    each->process.domain != h->process.domain)
			return each.get();
	for (auto &each : hosts)
		if (each->process.alive && each.get() != h)
			return each.get();
	return nullptr;
}

Engine *World::Current() const
{
	std::string name = "a-p1";

	if (subject_state == REQUEST_PREFILLING)
		name = subject_prefill;
	else if (subject_state >= REQUEST_TRANSFERRING)
		name = subject_decode;
	for (auto &e : engines)
		if (e->name == name)
			return e.get();
	return engines[0].get();
}

std::string World::Declarations() const
{
	std::string s = "{\"domains\":[";

	for (const char *d : {"a", "b"})
		s += std::string(*d == 'a' ? "" : ",") + "{\"name\":\"" + d +
		     "\",\"state\":\"" +
		     (withdrawn_domains.count(d) ? "withdrawn" : "in-service") +
		     "\"}";
	s += "],\"models\":[{\"name\":\"m\"}],\"accounts\":[{\"name\":\"acc\","
	     "\"rate_tokens_s\":" +
	     std::to_string(rate_tokens_s) +
	     ",\"burst_tokens\":" + std::to_string(burst_tokens) +
	     ",\"stream_tokens_s\":100,\"shares\":[{\"domain\":\"a\",\"part\":"
	     "0.5},{\"domain\":\"b\",\"part\":0.5}],\"keys\":[{" +
	     key_declared_ +
	     ",\"withdrawn\":" + (key_withdrawn ? "true" : "false") +
	     "}]}],\"services\":[{\"name\":\"s\",\"calls\":[{\"method\":"
	     "\"POST\",\"path\":\"/pay\"}]}],\"endpoints\":[";
	for (auto &e : engines)
		s += "{\"name\":\"" + e->name + "\",\"domain\":\"" + e->domain +
		     "\",\"addr\":\"" + e->addr +
		     "\",\"serves\":\"m\",\"role\":\"" +
		     (e->decode ? "decode" : "prefill") +
		     "\",\"slots\":4,\"leaving\":" +
		     (leaving.count(e->name) ? "true" : "false") + "},";
	for (auto &e : services)
		s += std::string(e == services[0] ? "" : ",") + "{\"name\":\"" +
		     e->name + "\",\"domain\":\"" + e->domain +
		     "\",\"addr\":\"" + e->addr +
		     "\",\"serves\":\"s\",\"role\":\"service\"}";
	return s + "]}";
}

/* Folds the platform's stream as an operator's command does. */
uint64_t World::AcceptedVersion() const
{
	struct config_state fold;
	uint64_t version;
	uint64_t offset = 0;

	config_state_init(&fold);
	for (auto &r : platform->streams["config"])
		config_state_apply(&fold, ++offset, r.data(), r.size());
	version = fold.current ? fold.current->version : 0;
	config_state_finish(&fold);
	return version;
}

void World::DeclareAgainst(uint64_t version)
{
	char *record =
		config_record_change(version, "op", "", Declarations().c_str());

	platform->Append("config", record);
	declared_us = TheClock().now_us;
	free(record);
}

/* An operator whose platform is down tries again until it is back. */
void World::Declare()
{
	if (platform->down) {
		TheClock().After(kSecondUs, [this] { Declare(); });
		return;
	}
	DeclareAgainst(AcceptedVersion());
}

Caller *World::Add(const std::string &prompt)
{
	auto c = std::make_unique<Caller>();

	c->world = this;
	c->prompt = prompt;
	callers.push_back(std::move(c));
	return callers.back().get();
}

Caller *World::AddService(const std::string &body, const std::string &key)
{
	Caller *c = Add(body);

	c->service = true;
	c->key = key;
	return c;
}

void World::Send(Caller *c, Host *h)
{
	std::map<std::string, std::string> headers = {
		{"Authorization", "Bearer " + key_text}};
	std::string body = "{\"model\":\"m\",\"prompt\":\"" + c->prompt +
			   "\",\"max_tokens\":" +
			   std::to_string(c->max_tokens) + ",\"stream\":true}";
	std::string path = "/v1/completions";
	auto client = std::make_unique<Client>();
	Client *raw = client.get();

	if (c->service) {
		headers["Idempotency-Key"] = c->key;
		path = "/v1/services/s/pay";
		body = c->prompt;
	}
	c->host = h;
	c->sent_us = TheClock().now_us;
	raw->changed = [c, raw] {
		if (raw == c->Last() && raw->complete && c->ended_us < 0)
			c->ended_us = TheClock().now_us;
	};
	c->clients.push_back(std::move(client));
	if (c->subject)
		Enter(kAuthenticate);
	sending_ = c;
	ClientCall(raw, h->caller_addr, "POST", path, headers, body);
	sending_ = nullptr;
}

/* The process dies; its callers send again, to another host. */
void World::Kill(Host *h)
{
	Host *other;

	h->process.alive = false;
	ClientsBreak(&h->process);
	other = Other(h);
	for (auto &c : callers) {
		if (c->host != h || c->Ended() || !c->Last())
			continue;
		TheClock().After(100 * kMsUs, [this, c = c.get(), other] {
			if (other->process.alive && !c->Ended()) {
				c->resends++;
				Send(c, other);
			}
		});
	}
	/* The engines see the connections break; they keep what they hold. */
	for (auto &e : engines) {
		auto open = e->open;

		for (auto &call : open)
			if (call->from == &h->process)
				call->transfer = nullptr;
	}
}

void World::Lasts(int64_t us, std::function<void()> lift)
{
	lifted_us = std::max(lifted_us, TheClock().now_us + us);
	TheClock().After(us, std::move(lift));
}

/* The subject enters a step: the fault strikes next, once. */
void World::Enter(Step step)
{
	if (struck || step != strike_at || !strike)
		return;
	struck = true;
	struck_us = TheClock().now_us;
	TheClock().After(0, [this] { strike(*this); });
}

void World::OnRequestStep(struct request *r, const struct request_event *ev,
			  const struct request_actions *out)
{
	static const Step entered[] = {kSteps,	      kCharge,	kQueue,
				       kReserve,      kPrefill, kTransfer,
				       kDecodeBefore, kSettle};
	Caller *c = sending_;

	if (ev->kind == REQUEST_EV_START && c && c->subject &&
	    subject_id.empty())
		subject_id = r->id;
	if (subject_id != r->id)
		return;
	subject_prefill = r->prefill_endpoint;
	subject_decode = r->decode_endpoint;
	if (r->state != subject_state && entered[r->state] != kSteps)
		Enter(entered[r->state]);
	subject_state = r->state;
	for (uint32_t i = 0; i < out->n; i++) {
		if (out->item[i].kind != REQUEST_DO_FORWARD)
			continue;
		Enter(kDecodeAfter);
		if (r->sent_tokens == callers.back()->Expected().size() / 7)
			Enter(kLastToken);
	}
}

} // namespace matrix

/* The linker puts this in front of the core's step, to see its steps. */
extern "C" {
int __real_request_step(struct request *r, const struct request_event *ev,
			int64_t now_us, struct request_actions *out);
int __wrap_request_step(struct request *r, const struct request_event *ev,
			int64_t now_us, struct request_actions *out);

int __wrap_request_step(struct request *r, const struct request_event *ev,
			int64_t now_us, struct request_actions *out)
{
	int result = __real_request_step(r, ev, now_us, out);

	if (matrix::the_world && result == 0)
		matrix::the_world->OnRequestStep(r, ev, out);
	return result;
}
}
