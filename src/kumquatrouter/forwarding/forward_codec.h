// Hooks that translate forwarded requests and answers to and from the HTTP protocol of callers and
// backend servers. A platform's interface supplies them.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "coordination/forwarding/forward_request.h"
#include "coordination/forwarding/prompt_placement.h"
#include "coordination/forwarding/run_move.h"
#include "transport/backend_client.h"
#include "transport/http_message.h"
#include "transport/http_server.h"
#include "utils/endpoint.h"
#include "utils/hooks.h"

namespace kumquat {

// A caller's request and the values that were decoded from its header.
struct CallerRequest {
  HttpRequest http;
  // The request id that the caller chose.
  std::string id;
  std::string host;
  std::string key;
  // How long the caller is willing to wait, if it says so.
  std::optional<Duration> time_left;
  // Id of the last event that the caller has received, if it resumes a stream.
  std::optional<std::int64_t> last_event;
  // It names an event, even if that is no number.
  bool names_last_event = false;
  // Id of the request that brought the caller the first event of that stream; empty if it names
  // none.
  std::string resumed_id;
  std::optional<Prompt> prompt;
  // Tokens of the prompt and of the longest answer together, if it names them.
  std::optional<std::int64_t> tokens;
};

// One call to a backend server.
struct ForwardCall {
  BackendChoice backend;
  Endpoint endpoint;
  std::string organisation;
  // Returns how long the caller still waits.
  std::function<Duration()> time_left;
  // Id of the event after which a stream is resumed.
  std::optional<std::int64_t> resume_after;
  // Priority rank; 0 is the most urgent.
  std::int64_t rank = 0;
  // Part of the cache key: engines reuse a cached part only under the salt that it was stored with.
  std::string cache_salt;
  std::optional<std::int64_t> expected_weights;
  // Where the engine fetches cached parts that it lacks, and where it saves the parts that it has
  // computed.
  std::optional<Endpoint> fetch_from;
  std::optional<Endpoint> save_to;
  // The copy that the run continues from, if it does.
  std::optional<RunCopy> copy;
  // The engine that keeps a copy of the run while it is in progress, if one does.
  std::optional<Endpoint> backup_endpoint;
};

// Asks an engine to copy the memory of a run to another engine.
struct RunMoveCall {
  BackendChoice from;
  Endpoint from_endpoint;
  Endpoint to;
  std::string request_id;
  // Whether the run is stopped before the rest of it is copied, or goes on.
  bool stops_run = false;
};

// Tells an engine that a copy of a run isn't needed.
struct FreeCopyCall {
  BackendChoice source;
  Endpoint source_endpoint;
  std::string handle;
};

struct ForwardCodec {
  std::function<CallerRequest(HttpRequest request)> decode_request;
  std::function<BackendCallRequest(const CallerRequest& request, const ForwardCall& call)>
      encode_call;
  std::function<AnswerHead(const CallerRequest& request, int status, const HttpHeaders& headers)>
      decode_head;
  std::function<BackendCallRequest(const RunMoveCall& move)> encode_move;
  std::function<BackendCallRequest(const FreeCopyCall& call)> encode_free_copy;
  std::function<MoveAnswer(int status, std::string_view body)> decode_move;
  // Returns the weights version in the header of an answer; nullopt if it names none.
  std::function<std::optional<std::int64_t>(const HttpHeaders& headers)> decode_weights_version;
  // Returns the header fields of an answer that are relayed to the caller.
  std::function<HttpHeaders(const HttpHeaders& headers)> headers_for_caller;
  std::function<void(HttpResponder& responder, const CallerRequest& request,
                     const Refusal& refusal)>
      send_refusal;
};

}  // namespace kumquat
