#include "coordination/log/replicated_log.h"

#include <utility>

#include "coordination/log/replica.h"

namespace kumquat {

std::string_view NameOf(LogRole role) {
  switch (role) {
    case LogRole::kLearner:
      return "learner";
    case LogRole::kFollower:
      return "follower";
    case LogRole::kCandidate:
      return "candidate";
    case LogRole::kLeader:
      return "leader";
    case LogRole::kFailed:
      return "failed";
  }
  return "failed";
}

ReplicatedLog::ReplicatedLog(std::unique_ptr<Internal::Replica> replica)
    : replica_(std::move(replica)) {}

ReplicatedLog::~ReplicatedLog() = default;

bool ReplicatedLog::Start() { return replica_->Start(); }

void ReplicatedLog::Tick() { replica_->Tick(); }

void ReplicatedLog::SetSeeds(std::vector<std::string> names) {
  replica_->SetSeeds(std::move(names));
}

Instant ReplicatedLog::sole_leader_since() const { return replica_->sole_leader_since(); }

bool ReplicatedLog::in_contact() const { return replica_->InContact(); }

void ReplicatedLog::Receive(const LogMessage& message) { replica_->Receive(message); }

std::optional<LogPosition> ReplicatedLog::Propose(std::string_view command) {
  return replica_->Propose(command);
}

void ReplicatedLog::ConfirmLeadership(std::function<void(bool confirmed)> callback) {
  replica_->ConfirmLeadership(std::move(callback));
}

std::optional<LogPosition> ReplicatedLog::ProposeMembership(const Membership& membership) {
  return replica_->ProposeMembership(membership);
}

void ReplicatedLog::Flush() { replica_->Flush(); }

LogRole ReplicatedLog::role() const { return replica_->role(); }

std::uint64_t ReplicatedLog::term() const { return replica_->term(); }

ReplicaId ReplicatedLog::self() const { return replica_->self(); }

std::optional<ReplicaId> ReplicatedLog::leader() const { return replica_->leader(); }

std::uint64_t ReplicatedLog::commit_index() const { return replica_->commit_index(); }

std::uint64_t ReplicatedLog::applied_index() const { return replica_->applied_index(); }

const std::vector<ReplicaId>& ReplicatedLog::voters() const {
  return replica_->membership().voters;
}

std::vector<ReplicaId> ReplicatedLog::learners() const { return replica_->learners(); }

LogStatus ReplicatedLog::status() const { return replica_->status(); }

const std::string& ReplicatedLog::last_reason() const { return replica_->last_reason(); }

using Builder = ReplicatedLog::Builder;

ReplicatedLog::Builder::Builder() : parts_(std::make_unique<Internal::ReplicaParts>()) {}

ReplicatedLog::Builder::~Builder() = default;

Builder& ReplicatedLog::Builder::Name(std::string_view name) {
  parts_->name = name;
  return *this;
}

Builder& ReplicatedLog::Builder::MemberNames(std::vector<std::string> names) {
  parts_->member_names = std::move(names);
  return *this;
}

Builder& ReplicatedLog::Builder::Options(const LogOptions& options) {
  parts_->options = options;
  return *this;
}

Builder& ReplicatedLog::Builder::Storage(LogStorage* storage) {
  parts_->storage = storage;
  return *this;
}

Builder& ReplicatedLog::Builder::Machine(StateMachine* machine) {
  parts_->machine = machine;
  return *this;
}

Builder& ReplicatedLog::Builder::Time(Clock clock) {
  parts_->clock = std::move(clock);
  return *this;
}

Builder& ReplicatedLog::Builder::Randomness(Random random) {
  parts_->random = std::move(random);
  return *this;
}

Builder& ReplicatedLog::Builder::OnSend(std::function<void(const LogMessage& message)> send) {
  parts_->send = std::move(send);
  return *this;
}

Builder& ReplicatedLog::Builder::OnApplied(
    std::function<void(const LogPosition& position, std::string_view answer)> on_applied) {
  parts_->on_applied = std::move(on_applied);
  return *this;
}

Builder& ReplicatedLog::Builder::OnChanged(std::function<void()> on_changed) {
  parts_->on_changed = std::move(on_changed);
  return *this;
}

Builder& ReplicatedLog::Builder::OnFlushRequested(std::function<void()> on_flush_requested) {
  parts_->on_flush_requested = std::move(on_flush_requested);
  return *this;
}

Builder& ReplicatedLog::Builder::OnFailed(
    std::function<void(const std::string& reason)> on_failed) {
  parts_->on_failed = std::move(on_failed);
  return *this;
}

std::unique_ptr<ReplicatedLog> ReplicatedLog::Builder::Build() {
  auto replica = std::make_unique<Internal::Replica>(std::move(*parts_));
  return std::unique_ptr<ReplicatedLog>(new ReplicatedLog(std::move(replica)));
}

}  // namespace kumquat
