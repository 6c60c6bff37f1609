#include "servers.h"

#include <algorithm>

#include <json-c/json.h>

extern "C" {
#include "textgen.h"
}

namespace matrix
{

namespace
{

constexpr int64_t kPrefillUs = 30 * kMsUs;
constexpr int64_t kTransferUs = 20 * kMsUs;
constexpr int64_t kStepUs = 10 * kMsUs;
constexpr int64_t kHeldUs = 800 * kMsUs;
constexpr int64_t kLateUs = 3 * kSecondUs;
constexpr int64_t kRestartUs = 2 * kSecondUs;
constexpr uint32_t kPieces = 80;

std::string Text(struct json_object *o, const char *key)
{
	struct json_object *v;

	return json_object_object_get_ex(o, key, &v) ? json_object_get_string(v)
						     : "";
}

uint32_t Number(struct json_object *o, const char *key)
{
	struct json_object *v;

	return json_object_object_get_ex(o, key, &v)
		       ? static_cast<uint32_t>(json_object_get_int64(v))
		       : 0;
}

} // namespace

Engine::Engine(std::string name, std::string domain, std::string addr,
	       bool decode)
    : Server(std::move(name), std::move(domain), std::move(addr)),
      decode(decode)
{
}

/* Answers with the run's id and what else there is, as JSON members. */
void Engine::Give(const Call &call, const std::string &run,
		  const std::string &rest)
{
	std::string body = "{\"run\":\"" + (crossed ? "other" : run) + "\"" +
			   (rest.empty() ? "" : ",") + rest + "}";
	int64_t delay_us = late ? kLateUs : 0;

	crossed = false;
	late = false;
	TheClock().After(delay_us, [this, call, body] {
		if (!hang)
			call->Answer(200, body);
	});
}

void Engine::Begin(const std::string &run, const Run &r)
{
	runs[run] = r;
	begun_us.emplace(run, TheClock().now_us);
	slots_most = std::max<uint32_t>(slots_most, runs.size());
}

void Engine::Prefill(const Call &call, const std::string &run,
		     struct json_object *body)
{
	Run r = {};

	r.prompt = Text(body, "prompt");
	r.state = Run::kPrefilling;
	r.hash = textgen_hash(r.prompt.data(), r.prompt.size(),
			      Number(body, "seed"));
	r.prompt_tokens = textgen_prompt_tokens(r.prompt.size());
	r.generated = textgen_count_tokens(Text(body, "generated").c_str());
	r.length = textgen_output_tokens(r.hash, Number(body, "max_tokens"));
	if (full || leaving || runs.count(run) || runs.size() >= slots) {
		call->Answer(503, "{\"error\":\"full\"}");
		return;
	}
	Begin(run, r);
	prefilled.push_back({TheClock().now_us, r.prompt_tokens});
	TheClock().After(kPrefillUs, [this, call, run] {
		auto it = runs.find(run);

		if (hang || it == runs.end() ||
		    it->second.state != Run::kPrefilling)
			return;
		if (!poison.empty() &&
		    it->second.prompt.find(poison) != std::string::npos) {
			Crash();
			return;
		}
		it->second.state = Run::kHeld;
		Give(call, run,
		     "\"kv\":\"" + run + "\",\"lifetime_ms\":800," +
			     "\"prompt_tokens\":" +
			     std::to_string(it->second.prompt_tokens));
		TheClock().After(short_lived ? 1 : kHeldUs, [this, run] {
			auto held = runs.find(run);

			if (held != runs.end() &&
			    held->second.state == Run::kHeld)
				runs.erase(held);
		});
	});
}

void Engine::Transfer(const Call &call, const std::string &run,
		      struct json_object *body)
{
	std::string kv = Text(body, "kv");
	auto *source =
		dynamic_cast<Engine *>(TheNet().servers[Text(body, "from")]);
	Run r = {};

	if (full || leaving || runs.count(run) || runs.size() >= slots) {
		call->Answer(503, "{\"error\":\"full\"}");
		return;
	}
	r.state = Run::kImporting;
	Begin(run, r);
	TheClock().After(kTransferUs, [this, call, run, kv, source] {
		auto mine = runs.find(run);

		if (hang || stall || mine == runs.end() ||
		    mine->second.state != Run::kImporting)
			return;
		auto held = source->runs.find(kv);
		if (source->down || held == source->runs.end() ||
		    held->second.state != Run::kHeld) {
			runs.erase(mine);
			call->Answer(410, "{\"error\":\"expired\"}");
			return;
		}
		mine->second = held->second;
		mine->second.state = Run::kReady;
		mine->second.position = held->second.generated;
		source->runs.erase(held);
		Give(call, run, "");
	});
}

void Engine::Token(const Run &r, const std::string &run, uint32_t position)
{
	char token[TEXTGEN_TOKEN_BYTES];
	std::string line;

	textgen_write_token(r.hash, position, token);
	line = "{\"run\":\"" + (crossed ? "other" : run) +
	       "\",\"position\":" + std::to_string(position) + ",\"text\":\"" +
	       token + "\"}\n";
	crossed = false;
	if (late) {
		late = false;
		TheClock().After(kLateUs,
				 [call = r.call, line] { call->Stream(line); });
	} else {
		r.call->Stream(line);
	}
}

void Engine::Step(const std::string &run, uint64_t stream)
{
	auto it = runs.find(run);

	if (it == runs.end() || it->second.stream != stream)
		return;
	if (hang) {
		TheClock().After(kStepUs,
				 [this, run, stream] { Step(run, stream); });
		return;
	}
	Run &r = it->second;
	if (r.position >= r.length) {
		r.call->Stream("{\"run\":\"" + run +
			       "\",\"tokens\":" + std::to_string(r.length) +
			       ",\"reason\":\"stop\"}\n");
		r.call->End();
		runs.erase(it);
		return;
	}
	Token(r, run, r.position++);
	TheClock().After(kStepUs, [this, run, stream] { Step(run, stream); });
}

void Engine::Decode(const Call &call, const std::string &run,
		    struct json_object *body)
{
	uint32_t position = Number(body, "position");
	auto it = runs.find(run);

	if (it == runs.end() || it->second.state < Run::kReady ||
	    position > it->second.position) {
		call->Answer(404, "{\"error\":\"no such run\"}");
		return;
	}
	Run &r = it->second;

	r.state = Run::kDecoding;
	r.call = call;
	uint64_t stream = ++r.stream;

	for (; position < r.position; position++)
		Token(r, run, position);
	TheClock().After(kStepUs, [this, run, stream] { Step(run, stream); });
}

void Engine::Load(const Call &call)
{
	std::string list;

	for (auto &r : runs)
		list += (list.empty() ? "\"" : ",\"") + r.first + "\"";
	Give(call, "",
	     "\"boot\":" + std::to_string(boot) +
		     ",\"slots\":" + std::to_string(slots) +
		     ",\"slots_used\":" + std::to_string(runs.size()) +
		     ",\"pieces\":" + std::to_string(kPieces) +
		     ",\"pieces_used\":" + std::to_string(runs.size()) +
		     ",\"queued_tokens\":0,\"cold\":" +
		     (full ? "true" : "false") +
		     ",\"leaving\":" + (leaving ? "true" : "false") +
		     ",\"running\":[" + list + "]");
}

void Engine::Handle(const Call &call)
{
	struct json_object *body = json_tokener_parse(call->body.c_str());
	std::string run = Text(body, "run");

	if (hang) {
		json_object_put(body);
		return;
	}
	if (call->path == "/load") {
		Load(call);
	} else if (call->path == "/events") {
		Give(call, "", "\"events\":[],\"next\":1");
	} else if (call->path == "/cancel") {
		bool known = runs.erase(run) != 0;

		Give(call, run,
		     std::string("\"known\":") + (known ? "true" : "false"));
	} else if (call->path == "/prefill") {
		Prefill(call, run, body);
	} else if (call->path == "/transfer") {
		Transfer(call, run, body);
	} else if (call->path == "/decode") {
		Decode(call, run, body);
	} else {
		call->Answer(404, "{}");
	}
	json_object_put(body);
}

/* Loses every run, breaks every connection, and starts again after a while. */
void Engine::Crash()
{
	crashes++;
	runs.clear();
	BreakAll();
	down = true;
	silent_before = 0;
	TheClock().After(kRestartUs, [this] {
		down = false;
		boot++;
	});
}

/* Ends a hang: what was under way is lost, as orders were not taken. */
void Engine::Unhang()
{
	hang = false;
}

} // namespace matrix
