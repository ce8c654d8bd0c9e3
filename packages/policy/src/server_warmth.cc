#include "tamarackwing/policy/server_warmth.h"

#include <algorithm>

namespace tamarackwing::policy {

void ServerWarmth::NoteReport(TimePoint sent,
                              std::chrono::milliseconds cold_for,
                              TimePoint now) {
  const bool was_cold = this->IsCold(now);
  this->cold_until = now + cold_for;
  this->shown_at = std::max(this->shown_at, sent);
  if (this->doubt && this->doubt->last < sent) {
    this->doubt.reset();
  }
  // Nobody sends to a server before its first report.
  if (this->was_reported) {
    this->NoteTurn(was_cold, now);
  }
  this->was_reported = true;
}

void ServerWarmth::NoteStart(TimePoint start, TimePoint until, TimePoint now) {
  const bool was_cold = this->IsCold(now);
  this->start_doubt_until = this->shown_at > start ? TimePoint() : until;
  this->NoteTurn(was_cold, now);
}

bool ServerWarmth::NoteSigns(DoubtSpan signs, Duration life, TimePoint now) {
  const bool is_news = !this->Doubt(now) || signs.last > this->doubt->last;
  if (signs.last <= this->shown_at || !is_news) {
    return false;
  }
  const bool was_cold = this->IsCold(now);
  // Signs from before the evidence say nothing.
  signs.first = std::max(signs.first, this->shown_at);
  if (this->Doubt(now)) {
    signs.first = std::min(signs.first, this->doubt->first);
  }
  this->doubt = signs;
  this->doubt_until = signs.last + life;
  this->NoteTurn(was_cold, now);
  return true;
}

void ServerWarmth::NoteReopened(TimePoint at, Duration life, TimePoint now) {
  if (at > this->shown_at) {
    this->reports_from = std::max(this->reports_from, at);
  }
  this->NoteSigns({at, at}, life, now);
}

void ServerWarmth::NoteBytes(TimePoint opened, TimePoint now) {
  if (this->doubt && opened <= this->shown_at &&
      this->reports_from <= this->shown_at) {
    this->shown_at = now;
    this->doubt.reset();
  }
}

void ServerWarmth::NoteSent(TimePoint now) {
  this->sends.push_back(now);
  while (now - this->sends.front() > kSpan) {
    this->sends.pop_front();
  }
}

void ServerWarmth::ReturnSent() {
  if (!this->sends.empty()) {
    this->sends.pop_back();
  }
}

bool ServerWarmth::IsCold(TimePoint now) const {
  return this->cold_until > now || this->start_doubt_until > now ||
         this->Doubt(now).has_value();
}

bool ServerWarmth::MaySend(std::uint32_t allowance, TimePoint now) const {
  if (!this->IsCold(now)) {
    return true;
  }
  return now - this->cold_since >= kSpan && this->SentLately(now) < allowance;
}

std::uint32_t ServerWarmth::SentLately(TimePoint now) const {
  return static_cast<std::uint32_t>(
      std::count_if(this->sends.begin(), this->sends.end(),
                    [&](TimePoint sent) { return now - sent <= kSpan; }));
}

std::optional<DoubtSpan> ServerWarmth::Doubt(TimePoint now) const {
  return this->doubt && this->doubt_until > now ? this->doubt : std::nullopt;
}

void ServerWarmth::NoteTurn(bool was_cold, TimePoint now) {
  if (!was_cold && this->IsCold(now)) {
    this->cold_since = now;
  }
}

bool ServerWarmth::IsForgettable(TimePoint now) const {
  return !this->IsCold(now) && this->SentLately(now) == 0;
}

}  // namespace tamarackwing::policy
