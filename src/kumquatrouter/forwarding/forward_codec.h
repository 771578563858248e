// How callers and backend servers of forwarded requests speak, as hooks for an interface to fill
// in.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "coordination/forwarding/forward_request.h"
#include "coordination/forwarding/prompt_placement.h"
#include "transport/backend_client.h"
#include "transport/http_message.h"
#include "transport/http_server.h"
#include "utils/endpoint.h"
#include "utils/hooks.h"

namespace kumquat {

// A caller's request with what its header says.
struct CallerRequest {
  HttpRequest http;
  // The caller's own id of it.
  std::string id;
  std::string host;
  std::string key;
  // How long the caller waits.
  std::optional<Duration> time_left;
  // The last event that the caller has, where it goes on with a stream.
  std::optional<std::int64_t> last_event;
  std::optional<Prompt> prompt;
};

// One call to a backend server.
struct ForwardCall {
  BackendChoice backend;
  Endpoint endpoint;
  std::string organisation;
  Duration time_left{0};
  // The event after which a stream is gone on with.
  std::optional<std::int64_t> resume_after;
  // 0 goes first.
  std::int64_t rank = 0;
  // Engines find cached parts only under the salt that they were made under.
  std::string cache_salt;
  std::optional<std::int64_t> expected_weights;
  // Where the engine fetches parts from that it lacks, and where it saves what it read.
  std::optional<Endpoint> fetch_from;
  std::optional<Endpoint> save_to;
  // The run goes on from this copy.
  std::optional<RunCopy> copy;
  // The engine that is to keep a copy of the run while it runs.
  std::optional<Endpoint> back_up_to;
};

// A run that is to be stopped and gone on with at another engine.
struct RunMove {
  BackendChoice from;
  Endpoint from_endpoint;
  Endpoint to;
  std::string request_id;
};

// What came of a move.
struct MoveAnswer {
  // Under this name the run goes on; empty where there is no such run any more.
  std::string handle;
  // The copy arrived at the other engine; else the run can go on where it was only.
  bool has_arrived = false;
};

struct ForwardCodec {
  std::function<CallerRequest(HttpRequest request)> decode_request;
  std::function<BackendCallRequest(const CallerRequest& request, const ForwardCall& call)>
      encode_call;
  std::function<AnswerHead(const CallerRequest& request, int status, const HttpHeaders& headers)>
      decode_head;
  std::function<BackendCallRequest(const RunMove& move)> encode_move;
  std::function<MoveAnswer(int status, std::string_view body)> decode_move;
  // Returns the version of the weights that the answer names.
  std::function<std::optional<std::int64_t>(const HttpHeaders& headers)> weights_of;
  // Returns the header fields that are passed on to the caller.
  std::function<HttpHeaders(const HttpHeaders& headers)> headers_for_caller;
  std::function<void(HttpResponder& responder, const CallerRequest& request,
                     const Refusal& refusal)>
      send_refusal;
};

}  // namespace kumquat
