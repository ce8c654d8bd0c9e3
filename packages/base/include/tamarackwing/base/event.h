#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace tamarackwing {

//! Numbered log events; docs/events.md describes each.
enum class Event {
  kHostStarted = 1001,
  kHostStopped = 1002,
  kDrainStarted = 1003,
  kSettingsRejected = 1004,
  kSettingsReloaded = 1005,
  kStartFailed = 1006,
  kBackendServerAnnounced = 2001,
  kBackendServerLeft = 2002,
  kBackendServerLeaseExpired = 2003,
  kBackendServerFailed = 2004,
  kBackendServerBroke = 2005,
  kBackendServerCrashed = 2006,
  kBackendServerLimit = 2007,
  kLinksLost = 2008,
  kLinksRegained = 2009,
  kBackendServerBrittle = 2010,
  kBackendServerPaused = 2011,
  kBackendServerUnreadable = 2012,
  kBackendServerRestarted = 2013,
  kBackendServerChosen = 2014,
  kBackendServerDoubted = 2015,
  kBlockQuarantined = 2101,
  kBlockReleased = 2102,
  kBlockTrial = 2103,
  kBlockTrialFailed = 2104,
  kSpillPlanned = 2201,
  kLeaderElected = 3001,
  kSteppedDown = 3002,
  kSetApplied = 3003,
  kKeyWithdrawn = 3004,
  kJournalDamaged = 3005,
  kJournalRecovered = 3006,
  kHostJoined = 3007,
  kHostLost = 3008,
  kWordLost = 3009,
  kWordRegained = 3010,
  kVoteWithheld = 3011,
  kLeaderFound = 3012,
  kControlLate = 3013,
  kFeedSourceChanged = 3014,
  kControlTraffic = 3015,
  kControlLoad = 3016,
  kVotersChanged = 3017,
  kVoterSilent = 3018,
  kVoterJoining = 3019,
  kElectionFailed = 3020,
  kDiskStalled = 3021,
  kDiskResumed = 3022,
  kLeaderResigned = 3023,
  kPeerConnected = 3101,
  kPeerLost = 3102,
  kPeerMessageRejected = 3103,
  kPeerNotAccepted = 3104,
  kLedgerViewChanged = 4001,
  kAllocatorStarted = 4002,
  kRequestRefused = 5001,
  kStreamEnded = 5002,
  kTryEnded = 5003,
  kRequestEnded = 5004,
  kTokensRefused = 5005,
  kTurnedAway = 5006,
  kQuarantineRefused = 5007,
  kStreamTakenUp = 5008,
  kHandlerFailed = 5009,
  kAnswerCut = 5010,
  kReportRejected = 5101,
  kOrderTaken = 5102,
  kDirectoryDetour = 5103,
  kSetRead = 5104,
};

//! A named value logged with an event.
struct EventField {
  std::string_view name;
  std::string value;
};

//! Severity of an event, and the minimum severity that is logged.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

//! Opens the log on standard output, with one line per event. Logging does not
//! block on output: lines are queued, and dropped if the queue is full.
//! Precondition: called once, before other threads log.
void OpenLog(LogLevel level);

//! Writes the queued lines and closes the log; later events are dropped.
//! Precondition: called once, when no other thread logs.
void CloseLog();

//! Sets the minimum severity that is logged.
//! Thread safety: callable from any thread.
void SetLogLevel(LogLevel level);

//! Returns whether events of this severity are logged.
//! Thread safety: callable from any thread.
bool IsLogged(LogLevel level);

//! Logs one event. Thread safety: callable from any thread.
void LogEvent(Event event,
              LogLevel level,
              std::initializer_list<EventField> fields);

//! Returns the event's name as in docs/events.md, or `unknown` if `event` is
//! not one of the enumerators. Thread safety: reentrant.
std::string_view EventName(Event event);

}  // namespace tamarackwing
