#include "src/evidence_pool.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace acacia {
namespace {

constexpr Duration kDecayInterval = std::chrono::seconds(1);
// Applied once per kDecayInterval; gives a half-life of 10 s.
constexpr double kDecayFactor = 0.933;
// A window without a report for this long is dropped.
constexpr Duration kWindowExpiry = std::chrono::seconds(60);
constexpr double kMaxWindowAttempts = 5;
constexpr Duration kShareInterval = std::chrono::seconds(1);
constexpr Duration kShareExpiry = std::chrono::seconds(4);
constexpr Duration kQuestionExpiry = std::chrono::seconds(20);
// Time for the answers to a question to arrive before they are judged.
constexpr Duration kAnswerWait = std::chrono::milliseconds(2500);
constexpr double kMinPooledBadAttempts = 4;
// Fraction of the reporters, and of the attempts, that must be bad.
constexpr double kMinBadFraction = 0.4;
// The report of an entry that avoids a backend server counts for at least this
// many attempts, all of them bad.
constexpr double kMinAvoidedAttempts = 2;
constexpr double kMinAvoidedBadAttempts = 0.1;
constexpr std::size_t kMinBadReporters = 2;

// That an entry avoids the backend server counts only while recent bad attempts
// support it.
bool IsBad(double attempts, double bad, bool avoided) {
  return (avoided && bad >= kMinAvoidedBadAttempts) ||
         (bad >= 0.5 && 2 * bad >= attempts);
}

}  // namespace

void EvidencePool::OnReport(
    const std::vector<std::unique_ptr<schema::BackendEvidenceT>>& evidence,
    TimePoint now) {
  for (const auto& item : evidence) {
    const Key key{ServiceName(item->service), BackendId(item->address)};
    Window& window = this->windows[key];
    window.attempts += item->attempts;
    window.bad += std::min(item->attempts, item->failures + item->slow);
    // Bounds the window's weight, so that at a busy entry the latest attempts
    // decide.
    const double scale =
        kMaxWindowAttempts / std::max(kMaxWindowAttempts, window.attempts);
    window.attempts *= scale;
    window.bad *= scale;
    window.avoided = item->avoided;
    window.updated = now;
  }
}

void EvidencePool::OnShare(
    const InstanceId& reporter,
    const FailureDomain& domain,
    const std::vector<std::unique_ptr<schema::BackendEvidenceT>>& evidence,
    TimePoint now) {
  for (const auto& item : evidence) {
    if (!item) {
      continue;
    }
    const Key key{ServiceName(item->service), BackendId(item->address)};
    const ReceivedShare share{domain, static_cast<double>(item->attempts),
                              static_cast<double>(item->failures),
                              item->avoided, now};
    this->shared[key][reporter] = share;
    const Totals totals = this->SumShares(key, now);
    if (totals.bad_reporters >= kMinBadReporters &&
        totals.bad >= kMinPooledBadAttempts) {
      const bool added = this->questions.emplace(key, now).second;
      this->new_question |= added;
    }
  }
}

void EvidencePool::Forget(const ServiceName& service,
                          const BackendId& backend) {
  const Key key{service, backend};
  this->windows.erase(key);
  this->shared.erase(key);
  this->questions.erase(key);
}

void EvidencePool::OnQuestion(const schema::EvidenceQuestionT& question,
                              TimePoint now) {
  const TimePoint asked = now - std::chrono::milliseconds(question.age_ms);
  if (now - asked >= kQuestionExpiry) {
    return;
  }
  const Key key{ServiceName(question.service), BackendId(question.address)};
  const bool added = this->questions.emplace(key, asked).second;
  this->new_question |= added;
}

void EvidencePool::OnTick(TimePoint now) {
  if (now < this->next_decay) {
    return;
  }
  this->next_decay = now + kDecayInterval;
  for (auto& [key, window] : this->windows) {
    window.attempts *= kDecayFactor;
    window.bad *= kDecayFactor;
  }
  std::erase_if(this->windows, [&](const auto& entry) {
    return now - entry.second.updated > kWindowExpiry;
  });
  std::erase_if(this->questions, [&](const auto& entry) {
    return now - entry.second >= kQuestionExpiry;
  });
  for (auto& [key, shares] : this->shared) {
    std::erase_if(shares, [&](const auto& entry) {
      return now - entry.second.at > kShareExpiry;
    });
  }
  std::erase_if(this->shared,
                [](const auto& entry) { return entry.second.empty(); });
}

std::map<ServiceName, schema::EvidenceShareT> EvidencePool::TakeShares(
    TimePoint now) {
  std::map<ServiceName, schema::EvidenceShareT> shares;
  if (now < this->next_share) {
    return shares;
  }
  this->next_share = now + kShareInterval;
  for (const auto& [key, window] : this->windows) {
    const bool bad = IsBad(window.attempts, window.bad, window.avoided);
    const bool asked = this->questions.count(key) != 0;
    const auto attempts =
        static_cast<std::uint32_t>(std::lround(window.attempts));
    if (!bad && (!asked || attempts == 0)) {
      continue;
    }
    auto item = std::make_unique<schema::BackendEvidenceT>();
    item->service = key.first.Value();
    item->address = key.second.Value();
    item->attempts = attempts;
    item->failures = static_cast<std::uint32_t>(std::lround(window.bad));
    item->avoided = window.avoided && bad;
    shares[key.first].evidence.push_back(std::move(item));
  }
  return shares;
}

std::vector<schema::EvidenceQuestionT> EvidencePool::Questions(
    std::size_t limit,
    TimePoint now) const {
  std::vector<std::pair<TimePoint, const Key*>> newest_first;
  for (const auto& [key, asked] : this->questions) {
    newest_first.emplace_back(asked, &key);
  }
  std::sort(newest_first.begin(), newest_first.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<schema::EvidenceQuestionT> result;
  for (std::size_t i = 0; i < std::min(limit, newest_first.size()); ++i) {
    schema::EvidenceQuestionT question;
    question.service = newest_first[i].second->first.Value();
    question.address = newest_first[i].second->second.Value();
    question.age_ms = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            now - newest_first[i].first)
            .count());
    result.push_back(std::move(question));
  }
  return result;
}

bool EvidencePool::TakeNewQuestion() {
  return std::exchange(this->new_question, false);
}

EvidencePool::Totals EvidencePool::SumShares(const Key& key,
                                             TimePoint now) const {
  Totals totals;
  const auto shares = this->shared.find(key);
  if (shares == this->shared.end()) {
    return totals;
  }
  for (const auto& [reporter, share] : shares->second) {
    if (now - share.at > kShareExpiry) {
      continue;
    }
    ++totals.reporters;
    double attempts = share.attempts;
    double bad = share.bad;
    if (share.avoided) {
      attempts = std::max(attempts, kMinAvoidedAttempts);
      bad = std::max(bad, kMinAvoidedAttempts);
    }
    totals.attempts += attempts;
    totals.bad += bad;
    if (IsBad(attempts, bad, share.avoided)) {
      ++totals.bad_reporters;
      totals.bad_domains.insert(share.domain);
    }
  }
  return totals;
}

bool EvidencePool::IsSick(const Key& key,
                          std::size_t domains,
                          TimePoint now) const {
  const auto question = this->questions.find(key);
  if (question == this->questions.end() ||
      now - question->second < kAnswerWait) {
    return false;
  }
  const Totals totals = this->SumShares(key, now);
  return totals.bad_reporters >= kMinBadReporters &&
         static_cast<double>(totals.bad_reporters) >=
             kMinBadFraction * static_cast<double>(totals.reporters) &&
         totals.bad_domains.size() >= std::min<std::size_t>(2, domains) &&
         totals.bad >= kMinPooledBadAttempts &&
         totals.bad >= kMinBadFraction * totals.attempts;
}

std::set<BackendId> EvidencePool::Sick(const ServiceName& service,
                                       std::size_t servers,
                                       std::size_t domains,
                                       TimePoint now) const {
  std::set<BackendId> sick;
  for (const auto& [key, shares] : this->shared) {
    if (key.first == service && this->IsSick(key, domains, now)) {
      sick.insert(key.second);
    }
  }
  // When most of a service looks sick, the cause is the service or its load
  // rather than single backend servers.
  if (2 * sick.size() > servers) {
    return {};
  }
  return sick;
}

std::vector<std::string> EvidencePool::Explain(const ServiceName& service,
                                               TimePoint now) const {
  std::vector<std::string> lines;
  for (const auto& [key, window] : this->windows) {
    if (key.first == service &&
        IsBad(window.attempts, window.bad, window.avoided)) {
      std::ostringstream line;
      line << key.second << " looks sick from here: " << window.bad << " of "
           << window.attempts << " recent attempts"
           << (window.avoided ? ", avoided" : "");
      lines.push_back(line.str());
    }
  }
  for (const auto& [key, shares] : this->shared) {
    if (key.first == service) {
      const Totals totals = this->SumShares(key, now);
      std::ostringstream line;
      line << key.second << " pooled: bad at " << totals.bad_reporters << " of "
           << totals.reporters << " entries in " << totals.bad_domains.size()
           << " failure domains";
      lines.push_back(line.str());
    }
  }
  return lines;
}

}  // namespace acacia
