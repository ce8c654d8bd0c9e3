#pragma once

#include <cstddef>

namespace tamarackwing::policy {

//! How one try of a request ended.
enum class TryOutcome {
  //! No byte of it left.
  kNotSent,
  //! The server says that it did not run it.
  kNotRun,
  //! It was sent, and no whole answer came.
  kLost,
  //! The server ran it and answered with a failure.
  kFailed,
  kServed,
};

//! What follows a try.
enum class NextStep {
  kTryAnother,
  //! The answer, also one of failure, goes on to the caller.
  kPassOn,
  //! Refused: the request has not run and will not.
  kRefuse,
  //! Given up: whether it ran is not known.
  kGiveUp,
};

//! What a request's kind allows.
struct TryRules {
  //! Whether it may run more than once.
  bool repeatable = false;
  //! Servers on which it may run.
  std::size_t max_runs = 1;
};

//! Decides after each try of one request whether another may follow. A request
//! that may not be repeated goes to a second server only where no server can
//! have run it. Answers the load pattern in which full, restarting and silent
//! servers each take a first try. Not thread-safe.
class TryPlan {
 public:
  explicit TryPlan(TryRules rules);

  //! Notes how a try ended and says what follows.
  NextStep Next(TryOutcome end);
  //! Whether a server may have run the request.
  bool MayHaveRun() const { return this->runs > 0; }
  //! Tries that left this host.
  std::size_t Sends() const { return this->sends; }
  //! What is left to say where no further try can be made.
  NextStep Stop() const;

 private:
  TryRules rules;
  std::size_t tries = 0;
  std::size_t sends = 0;
  std::size_t runs = 0;
};

}  // namespace tamarackwing::policy
