// Gathers what routers know of requests that crash backend servers, and passes it on to the others.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>

#include "coordination/admission/culprit_table.h"
#include "coordination/admission/suspect_trials.h"
#include "protocol/control_news.h"
#include "utils/histogram.h"
#include "utils/hooks.h"

namespace kumquat {

// Replicas don't talk to each other about suspects: each router is linked to all of them, so that
// any router brings to one replica what it learned from another.
class SuspectRelay {
 public:
  explicit SuspectRelay(Clock clock) : clock_(std::move(clock)) {}

  // Takes news from a router. Returns what to answer it; nullopt for nothing.
  std::optional<SuspectNews> Receive(const SuspectNews& news);

  void Receive(const TrialNews& news);

  // Each returns the news for all routers since the last call; nullopt if there are none.
  std::optional<SuspectNews> TakeNews();
  std::optional<TrialNews> TakeTrialNews();

  // Returns the trials and crashes for a router that may have missed some.
  TrialNews TrialSummary();

  // Sets the gauges.
  void Measure(Metrics* metrics) const;

 private:
  SuspectNews NewsOf(std::vector<SuspectEntry> entries) const;
  std::uint64_t Hash() const { return table_.AccusedHash() ^ trials_.Hash(); }

  Clock clock_;
  CulpritTable table_;
  // No trial is run here.
  SuspectTrials trials_{nullptr};
  // Digests of changed entries that routers haven't been told.
  std::set<std::string> untold_;
};

}  // namespace kumquat
