#include "tamarackwing/base/event.h"

#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>
#include <nlohmann/json.hpp>

#include "queued_appender.h"

namespace tamarackwing {
namespace {

log4cplus::LogLevel ToLibraryLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

log4cplus::Logger& EventLogger() {
  static log4cplus::Logger logger =
      log4cplus::Logger::getInstance("tamarackwing");
  return logger;
}

}  // namespace

void OpenLog(LogLevel level) {
  static const log4cplus::Initializer kInitializer;
  log4cplus::SharedAppenderPtr appender(new QueuedAppender());
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %m%n"));
  EventLogger().addAppender(appender);
  EventLogger().setLogLevel(ToLibraryLevel(level));
}

void CloseLog() {
  EventLogger().closeNestedAppenders();
  EventLogger().removeAllAppenders();
}

void SetLogLevel(LogLevel level) {
  EventLogger().setLogLevel(ToLibraryLevel(level));
}

bool IsLogged(LogLevel level) {
  return EventLogger().isEnabledFor(ToLibraryLevel(level));
}

void LogEvent(Event event,
              LogLevel level,
              std::initializer_list<EventField> fields) {
  const auto library_level = ToLibraryLevel(level);
  if (!EventLogger().isEnabledFor(library_level)) {
    return;
  }
  nlohmann::ordered_json line;
  line["event"] = static_cast<int>(event);
  line["name"] = EventName(event);
  for (const EventField& field : fields) {
    line[std::string(field.name)] = field.value;
  }
  const std::string text =
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  EventLogger().log(library_level, text);
}

std::string_view EventName(Event event) {
  switch (event) {
    case Event::kHostStarted:
      return "host_started";
    case Event::kHostStopped:
      return "host_stopped";
    case Event::kDrainStarted:
      return "drain_started";
    case Event::kSettingsRejected:
      return "settings_rejected";
    case Event::kStartFailed:
      return "start_failed";
    case Event::kWordLost:
      return "word_lost";
    case Event::kWordRegained:
      return "word_regained";
    case Event::kVoteWithheld:
      return "vote_withheld";
    case Event::kLeaderFound:
      return "leader_found";
    case Event::kControlLate:
      return "control_late";
    case Event::kSettingsReloaded:
      return "settings_reloaded";
    case Event::kBackendServerAnnounced:
      return "backend_server_announced";
    case Event::kBackendServerLeft:
      return "backend_server_left";
    case Event::kBackendServerLeaseExpired:
      return "backend_server_lease_expired";
    case Event::kBackendServerFailed:
      return "backend_server_failed";
    case Event::kBackendServerBroke:
      return "backend_server_broke";
    case Event::kBackendServerCrashed:
      return "backend_server_crashed";
    case Event::kBackendServerLimit:
      return "backend_server_limit";
    case Event::kLinksLost:
      return "links_lost";
    case Event::kLinksRegained:
      return "links_regained";
    case Event::kBackendServerBrittle:
      return "backend_server_brittle";
    case Event::kBackendServerPaused:
      return "backend_server_paused";
    case Event::kBackendServerUnreadable:
      return "backend_server_unreadable";
    case Event::kBackendServerRestarted:
      return "backend_server_restarted";
    case Event::kBackendServerChosen:
      return "backend_server_chosen";
    case Event::kBackendServerDoubted:
      return "backend_server_doubted";
    case Event::kBlockQuarantined:
      return "block_quarantined";
    case Event::kBlockReleased:
      return "block_released";
    case Event::kBlockTrial:
      return "block_trial";
    case Event::kBlockTrialFailed:
      return "block_trial_failed";
    case Event::kSpillPlanned:
      return "spill_planned";
    case Event::kLeaderElected:
      return "leader_elected";
    case Event::kSteppedDown:
      return "stepped_down";
    case Event::kSetApplied:
      return "set_applied";
    case Event::kKeyWithdrawn:
      return "key_withdrawn";
    case Event::kJournalDamaged:
      return "journal_damaged";
    case Event::kJournalRecovered:
      return "journal_recovered";
    case Event::kHostJoined:
      return "host_joined";
    case Event::kHostLost:
      return "host_lost";
    case Event::kFeedSourceChanged:
      return "feed_source_changed";
    case Event::kControlTraffic:
      return "control_traffic";
    case Event::kControlLoad:
      return "control_load";
    case Event::kVotersChanged:
      return "voters_changed";
    case Event::kVoterSilent:
      return "voter_silent";
    case Event::kVoterJoining:
      return "voter_joining";
    case Event::kElectionFailed:
      return "election_failed";
    case Event::kDiskStalled:
      return "disk_stalled";
    case Event::kDiskResumed:
      return "disk_resumed";
    case Event::kLeaderResigned:
      return "leader_resigned";
    case Event::kPeerConnected:
      return "peer_connected";
    case Event::kPeerLost:
      return "peer_lost";
    case Event::kPeerMessageRejected:
      return "peer_message_rejected";
    case Event::kPeerNotAccepted:
      return "peer_not_accepted";
    case Event::kLedgerViewChanged:
      return "ledger_view_changed";
    case Event::kAllocatorStarted:
      return "allocator_started";
    case Event::kRequestRefused:
      return "request_refused";
    case Event::kStreamEnded:
      return "stream_ended";
    case Event::kTryEnded:
      return "try_ended";
    case Event::kTokensRefused:
      return "tokens_refused";
    case Event::kTurnedAway:
      return "turned_away";
    case Event::kQuarantineRefused:
      return "quarantine_refused";
    case Event::kStreamTakenUp:
      return "stream_taken_up";
    case Event::kAnswerCut:
      return "answer_cut";
    case Event::kHandlerFailed:
      return "handler_failed";
    case Event::kRequestEnded:
      return "request_ended";
    case Event::kReportRejected:
      return "report_rejected";
    case Event::kOrderTaken:
      return "order_taken";
    case Event::kDirectoryDetour:
      return "directory_detour";
    case Event::kSetRead:
      return "set_read";
  }
  return "unknown";
}

}  // namespace tamarackwing
