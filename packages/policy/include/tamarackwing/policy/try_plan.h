#pragma once

#include <cstddef>

namespace tamarackwing::policy {

//! The outcome of one try of a request at a server.
enum class TryOutcome {
  //! Nothing of it was sent.
  kNotSent,
  //! The server reported that it did not run it.
  kNotRun,
  //! It was sent, and no complete response arrived.
  kLost,
  //! The server ran it and responded with a failure.
  kFailed,
  kServed,
};

//! What to do after a try.
enum class NextStep {
  kTryAnother,
  //! Pass the response, which may report a failure, to the caller.
  kPassOn,
  //! Refuse the request: it has not run and will not.
  kRefuse,
  //! Give up: it is unknown whether the request ran.
  kGiveUp,
};

//! Limits on running a request, given by its kind.
struct TryRules {
  //! Whether it may run more than once.
  bool repeatable = false;
  //! Max runs of a repeatable request; the limit on all tries grows with it.
  std::size_t max_runs = 1;
};

//! Decides after each try of one request whether another may follow. A request
//! that is not repeatable is sent to another server only if no server can have
//! run it. Permits a few more tries than runs, to handle full, restarting and
//! silent servers that each consume a try. Not thread-safe.
class TryPlan {
 public:
  explicit TryPlan(TryRules rules);

  //! Records the outcome of a try and returns what to do next.
  NextStep Next(TryOutcome outcome);
  //! Returns whether another try may follow if the current one is lost.
  bool MayFollowLoss() const;
  //! Returns whether a server may have run the request.
  bool MayHaveRun() const { return this->runs > 0; }
  //! Returns the number of tries that were sent.
  std::size_t Sends() const { return this->sends; }
  //! Returns how to end the request if no further try is possible: kGiveUp if
  //! a server may have run it, otherwise kRefuse.
  NextStep Stop() const;

 private:
  //! Returns whether another try may follow after so many tries and runs.
  bool MayTry(std::size_t after_tries, std::size_t after_runs) const;

  TryRules rules;
  std::size_t tries = 0;
  std::size_t sends = 0;
  //! Tries in which the server may have run the request.
  std::size_t runs = 0;
};

}  // namespace tamarackwing::policy
