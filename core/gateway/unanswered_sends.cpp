#include "core/gateway/unanswered_sends.h"

#include <algorithm>
#include <iterator>

namespace gypsum {

void UnansweredSends::Add(Number aNumber,
                          BackendPtr aBackend,
                          std::shared_ptr<const RequestTraits> aTraits)
{
  Send& send = sends_[aNumber];
  send.backend = std::move(aBackend);
  send.traits = std::move(aTraits);
}

void UnansweredSends::OnConnected(Number aNumber,
                                  Instant aOpenedAt,
                                  Instant aNow)
{
  const auto found = sends_.find(aNumber);
  if (found == sends_.end()) {
    return;
  }
  found->second.state = State::Running;
  found->second.openedAt = aOpenedAt;
  found->second.sentAt = aNow;
}

bool UnansweredSends::OnEvents(Number aNumber, bool aIsComplete, Instant aNow)
{
  const auto found = sends_.find(aNumber);
  if (found == sends_.end()) {
    return false;
  }
  Send& send = found->second;
  OnResponse(*send.backend, send.openedAt, aNow);
  if (send.state == State::Survived) {
    return false;
  }
  if (send.firstEventAt == Instant{}) {
    send.firstEventAt = aNow;
  }
  if (!aIsComplete && aNow - send.firstEventAt < kSurvivalTime) {
    return false;
  }
  send.state = State::Survived;
  return true;
}

void UnansweredSends::OnBroken(Number aNumber, Instant aNow)
{
  const auto found = sends_.find(aNumber);
  if (found != sends_.end()) {
    found->second.state = State::Broken;
    found->second.endedAt = aNow;
  }
}

void UnansweredSends::OnGivenUp(Number aNumber, Instant aNow)
{
  const auto found = sends_.find(aNumber);
  if (found != sends_.end()) {
    found->second.state = State::GivenUp;
    found->second.endedAt = aNow;
  }
}

void UnansweredSends::OnTimedOut(Number aNumber, Instant aNow)
{
  const auto found = sends_.find(aNumber);
  if (found != sends_.end()) {
    found->second.isOverdue = true;
    OnGivenUp(aNumber, aNow);
  }
}

bool UnansweredSends::MayBeUnheard(const Send& aSend)
{
  return aSend.state == State::Running ||
         (aSend.state == State::GivenUp && !aSend.isSettled);
}

bool UnansweredSends::IsSilent(const Send& aSend, Instant aNow) const
{
  if (!MayBeUnheard(aSend) ||
      unansweredQuestions_.contains(IncarnationOf(*aSend.backend))) {
    return false;
  }
  const Instant since = SilentSince(aSend);
  return aNow - since >= kSilenceTime ||
         (aSend.isOverdue && since == aSend.sentAt);
}

void UnansweredSends::OnResponse(const BackendRecord& aBackend,
                                 Instant aOpenedAt,
                                 Instant aNow)
{
  const Incarnation server = IncarnationOf(aBackend);
  heardAt_[server] = aNow;
  std::erase_if(sends_, [&](const auto& aItem) {
    const Send& send = aItem.second;
    // A connection that was opened later may lead to a restarted process.
    return send.state == State::GivenUp && IsOf(send, server) &&
           aOpenedAt <= send.endedAt && aNow - send.endedAt >= kSurvivalTime;
  });
}

void UnansweredSends::OnPeerResponse(const Incarnation& aServer, Instant aAt)
{
  Instant& heardAt = heardAt_[aServer];
  heardAt = std::max(heardAt, aAt);
}

bool UnansweredSends::IsOf(const Send& aSend, const Incarnation& aServer) const
{
  return aSend.backend->id == aServer.first &&
         aSend.backend->startedMs == aServer.second;
}

UnansweredSends::Sent UnansweredSends::Find(Number aNumber) const
{
  const auto found = sends_.find(aNumber);
  if (found == sends_.end()) {
    return {};
  }
  const Send& send = found->second;
  return { send.backend, send.traits, send.openedAt, send.Counts() };
}

std::vector<BackendPtr> UnansweredSends::ServersById(
  std::string_view aBackend) const
{
  std::map<Incarnation, BackendPtr> servers;
  for (const auto& [number, send] : sends_) {
    if (send.Counts() && send.backend->id == aBackend) {
      servers.emplace(IncarnationOf(*send.backend), send.backend);
    }
  }
  std::vector<BackendPtr> list;
  std::ranges::transform(servers,
                         std::back_inserter(list),
                         [](const auto& aItem) { return aItem.second; });
  return list;
}

std::vector<UnansweredSends::Number> UnansweredSends::EndedAt(
  const Incarnation& aServer) const
{
  std::vector<Number> numbers;
  for (const auto& [number, send] : sends_) {
    if (send.HasEnded() && IsOf(send, aServer)) {
      numbers.push_back(number);
    }
  }
  return numbers;
}

Instant UnansweredSends::SilentSince(const Send& aSend) const
{
  const auto heard = heardAt_.find(IncarnationOf(*aSend.backend));
  return std::max({ aSend.sentAt,
                    pauseEndedAt_,
                    heard == heardAt_.end() ? Instant{} : heard->second });
}

Instant UnansweredSends::FirstSilentSince(const Incarnation& aServer) const
{
  Instant first = Instant::max();
  for (const auto& [number, send] : sends_) {
    if (send.Counts() && IsOf(send, aServer)) {
      first = std::min(first, SilentSince(send));
    }
  }
  return first;
}

NoticedEnd UnansweredSends::EndOf(const Incarnation& aServer,
                                  Instant aNow) const
{
  NoticedEnd end;
  end.crash.backend = aServer.first;
  end.crash.startedMs = aServer.second;
  const Instant silentSince = FirstSilentSince(aServer);
  Instant brokenAt = Instant::max();
  for (const auto& [number, send] : sends_) {
    const bool isOpen = send.Counts() && IsOf(send, aServer) &&
                        send.sentAt < silentSince + kSilenceTime;
    if (!isOpen) {
      continue;
    }
    ++end.requests;
    end.givenUp += send.state == State::GivenUp ? 1 : 0;
    end.crash.version = send.backend->version;
    std::ranges::copy(*send.traits, std::back_inserter(end.crash.traits));
    if (send.state == State::Broken) {
      brokenAt = std::min(brokenAt, send.endedAt);
      end.openedAt = std::max(end.openedAt, send.openedAt);
    }
  }
  const Instant at = brokenAt == Instant::max() ? silentSince : brokenAt;
  end.crash.age = std::max(Duration{}, Duration(aNow - at));
  return end;
}

std::vector<BackendPtr> UnansweredSends::TakeUnheard(Instant aNow)
{
  std::vector<BackendPtr> servers;
  for (const auto& [number, send] : sends_) {
    const Instant since = SilentSince(send);
    if (!MayBeUnheard(send) || aNow - since < kUnheardTime) {
      continue;
    }
    const Incarnation server = IncarnationOf(*send.backend);
    const auto askedAt = unheardAskedAt_.find(server);
    const bool isAsked =
      askedAt != unheardAskedAt_.end() && askedAt->second >= since;
    if (!isAsked && unansweredQuestions_.insert(server).second) {
      unheardAskedAt_[server] = aNow;
      servers.push_back(send.backend);
    }
  }
  return servers;
}

void UnansweredSends::OnQuestionEnd(const Incarnation& aServer,
                                    bool aIsAlive,
                                    Instant aNow)
{
  unansweredQuestions_.erase(aServer);
  if (!aIsAlive) {
    return;
  }
  heardAt_[aServer] = aNow;
  for (auto& [number, send] : sends_) {
    // A process that has taken its place would have been listed, and counts for
    // the send then.
    send.isSettled =
      send.isSettled || (send.state == State::GivenUp && IsOf(send, aServer) &&
                         aNow - send.endedAt >= kSurvivalTime);
  }
}

std::vector<NoticedEnd> UnansweredSends::TakeSilences(Instant aNow)
{
  std::map<Incarnation, NoticedEnd> ends;
  for (auto& [number, send] : sends_) {
    const bool isReported = send.reportedAt >= SilentSince(send) ||
                            aNow - send.reportedAt < kSilenceReportGap;
    if (isReported || !IsSilent(send, aNow)) {
      continue;
    }
    const Incarnation server = IncarnationOf(*send.backend);
    const Instant silentSince = FirstSilentSince(server);
    if (send.sentAt >= silentSince + kSilenceTime) {
      continue;
    }
    send.reportedAt = aNow;
    NoticedEnd& end = ends[server];
    end.sends.push_back(number);
    end.crash.backend = server.first;
    end.crash.startedMs = server.second;
    end.crash.version = send.backend->version;
    end.crash.proof = EndProof::Suspected;
    end.crash.wasSilent = true;
    end.crash.age = aNow - silentSince;
    end.openedAt = std::max(end.openedAt, send.openedAt);
    std::ranges::copy(*send.traits, std::back_inserter(end.crash.traits));
    ++end.requests;
    end.givenUp += send.state == State::GivenUp ? 1 : 0;
  }
  std::vector<NoticedEnd> list;
  std::ranges::transform(ends, std::back_inserter(list), [](auto& aItem) {
    return std::move(aItem.second);
  });
  return list;
}

std::vector<BackendPtr> UnansweredSends::TakeUnexplained(Instant aNow)
{
  std::vector<BackendPtr> servers;
  for (const auto& [number, send] : sends_) {
    if (!MayBeUnheard(send) || aNow - SilentSince(send) < kMaxSilence) {
      continue;
    }
    Instant& askedAt = askedAt_[IncarnationOf(*send.backend)];
    if (aNow - askedAt >= kMaxSilence) {
      askedAt = aNow;
      servers.push_back(send.backend);
    }
  }
  return servers;
}

void UnansweredSends::Expire(Instant aNow)
{
  std::erase_if(sends_, [&](const auto& aItem) {
    return aItem.second.HasEnded() &&
           aNow - aItem.second.endedAt >= kConfirmationTime;
  });
  const auto isOld = [&](const auto& aItem) {
    return aNow - aItem.second >= 2 * kConfirmationTime;
  };
  std::erase_if(heardAt_, isOld);
  std::erase_if(askedAt_, isOld);
  std::erase_if(unheardAskedAt_, isOld);
}

} // namespace gypsum
