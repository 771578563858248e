// Callers for process tests.
#pragma once

#include <doctest/doctest.h>

#include <QJsonArray>
#include <QJsonObject>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/transport/raw_peer.h"
#include "protocol/json_fields.h"
#include "transport/backend_client.h"
#include "transport/sse_parser.h"

namespace kumquat {

// One request and what came back.
struct TestCall {
  int status = 0;
  HttpHeaders headers;
  std::string body;
  // The payloads of an answer of server-sent events.
  std::vector<std::string> events;
  bool ended = false;
  std::optional<CallFailure> failure;

  bool done() const { return ended || failure; }
  bool done_marker() const { return !events.empty() && events.back() == "[DONE]"; }
  QJsonObject json() const { return ParseJsonObject(body).value_or(QJsonObject{}); }

  SseParser parser;
  std::unique_ptr<BackendCall> call;
};

class TestCaller {
 public:
  std::unique_ptr<TestCall> Start(const Endpoint& endpoint, const std::string& method,
                                  const std::string& target, const HttpHeaders& headers = {},
                                  const std::string& body = {}) {
    auto result = std::make_unique<TestCall>();
    TestCall* call = result.get();
    BackendCallRequest request;
    request.endpoint = endpoint;
    request.method = method;
    request.target = target;
    request.headers = headers;
    request.body = body;
    request.timeouts = {std::chrono::seconds(5), std::chrono::seconds(60),
                        std::chrono::seconds(60)};
    BackendCallHooks hooks;
    hooks.on_headers = [call](int status, const HttpHeaders& answer_headers) {
      call->status = status;
      call->headers = answer_headers;
    };
    hooks.on_data = [call](std::string_view data) {
      call->body += data;
      call->parser.Feed(data, [call](std::string_view event) { call->events.emplace_back(event); });
    };
    hooks.on_end = [call] { call->ended = true; };
    hooks.on_failure = [call](CallFailure failure, std::string_view) { call->failure = failure; };
    call->call = client_->Start(std::move(request), std::move(hooks));
    return result;
  }

  std::unique_ptr<TestCall> Run(const Endpoint& endpoint, const std::string& method,
                                const std::string& target, const HttpHeaders& headers = {},
                                const std::string& body = {}) {
    auto call = Start(endpoint, method, target, headers, body);
    CHECK(SpinUntil([&] { return call->done(); }));
    return call;
  }

  QJsonObject GetJson(const Endpoint& endpoint, const std::string& target) {
    return Run(endpoint, "GET", target)->json();
  }

 private:
  std::unique_ptr<BackendClient> client_ = MakeHttpBackendClient();
};

}  // namespace kumquat
