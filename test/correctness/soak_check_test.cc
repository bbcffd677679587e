#include "test/soak_check.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <functional>

namespace acacia {
namespace {

using Kind = SoakEvent::Kind;

SoakEvent Event(Kind kind, int at, int entry = 0, int status = 0) {
  SoakEvent event;
  event.kind = kind;
  event.at = SoakTime(at);
  event.entry = entry;
  event.status = status;
  return event;
}

// An unsafe request to entry 0 that was answered, between two stops.
SoakHistory SoundHistory() {
  CallRecord call;
  call.id = "r";
  call.kept_connection = true;
  call.head_sent = SoakTime(20000);
  call.whole = true;
  call.last_byte = SoakTime(20010);
  call.ended = SoakTime(20400);
  call.deadline = SoakTime(5000);
  call.end = CallRecord::End::kAnswered;
  call.status = 200;
  call.is_signed = true;
  call.own_body = true;
  RunRecord run;
  run.id = "r";
  run.instance = "i";
  run.begun = SoakTime(20020);
  run.ended = SoakTime(20390);
  run.end = RunRecord::End::kAnswered;
  return {{call},
          {run},
          {Event(Kind::kStart, 0), Event(Kind::kStop, 8000),
           Event(Kind::kEnd, 10000), Event(Kind::kStart, 10100),
           Event(Kind::kStop, 20100), Event(Kind::kReload, 20200),
           Event(Kind::kEnd, 22000)},
          {}};
}

// The rules that are broken once `change` has been made.
std::vector<std::string> Broken(
    const std::function<void(SoakHistory&)>& change) {
  SoakHistory history = SoundHistory();
  change(history);
  std::stable_sort(
      history.events.begin(), history.events.end(),
      [](const SoakEvent& a, const SoakEvent& b) { return a.at < b.at; });
  std::vector<std::string> rules;
  for (const std::string& line : SoakCheck(history).Violations()) {
    rules.push_back(line.substr(0, line.find(' ')));
  }
  return rules;
}

using Rules = std::vector<std::string>;

void LoseAnswer(SoakHistory& history) {
  history.calls[0].end = CallRecord::End::kClosed;
  history.calls[0].status = 0;
}

TEST_CASE("A sound history of a soak breaks no rule") {
  CHECK(Broken([](SoakHistory&) {}).empty());
}

TEST_CASE("A soak notices a lost answer, whole or in part") {
  CHECK(Broken(LoseAnswer) == Rules{"LOST"});
  CHECK(Broken([](SoakHistory& history) {
          history.calls[0].end = CallRecord::End::kCutAnswer;
        }) == Rules{"LOST"});
  CHECK(Broken([](SoakHistory& history) {
          history.calls[0].end = CallRecord::End::kNoAnswer;
        }) == Rules{"LOST"});
  // Read, not passed on, and closed late.
  CHECK(Broken([](SoakHistory& history) {
          LoseAnswer(history);
          history.runs.clear();
          history.calls[0].ended = SoakTime(21000);
        }) == Rules{"LOST"});
  // Replaced by an answer of the entry's own while the work goes on.
  CHECK(Broken([](SoakHistory& history) {
          history.calls[0].status = 502;
          history.calls[0].is_signed = false;
          history.runs[0].ended = SoakTime(21000);
        }) == Rules{"LOST"});
}

TEST_CASE("A soak excuses an answer that is lost to a harm outside") {
  const auto lost_with = [](const std::function<void(SoakHistory&)>& change) {
    return Broken([&](SoakHistory& history) {
      LoseAnswer(history);
      change(history);
    });
  };
  CHECK(lost_with([](SoakHistory& history) {
          history.runs[0].end = RunRecord::End::kBrokeOff;
        }).empty());
  CHECK(lost_with([](SoakHistory& history) {
          history.calls[0].deadline = SoakTime(400);
        }).empty());
  CHECK(lost_with([](SoakHistory& history) {
          history.calls[0].end = CallRecord::End::kCallerLeft;
        }).empty());
  CHECK(lost_with([](SoakHistory& history) {
          history.events.push_back(Event(Kind::kFreeze, 20050));
        }).empty());
  CHECK(lost_with([](SoakHistory& history) {
          history.events.push_back(Event(Kind::kSilence, 18000, -1));
        }).empty());
  // At work in the last sixth of the grace time.
  CHECK(lost_with([](SoakHistory& history) {
          history.calls[0].ended = SoakTime(25900);
          history.calls[0].deadline = SoakTime(9000);
          history.runs[0].ended = SoakTime(25200);
          history.events.back().at = SoakTime(25950);
        }).empty());
  // Harm to another entry, to the store, or long ago is no excuse.
  CHECK(lost_with([](SoakHistory& history) {
          history.events.push_back(Event(Kind::kFreeze, 20050, 1));
          history.events.push_back(Event(Kind::kStoreAway, 20050, -1));
          history.events.push_back(Event(Kind::kSilence, 15000, -1));
          history.events.push_back(Event(Kind::kFreeze, 12000));
          history.events.push_back(Event(Kind::kThaw, 13000));
        }) == Rules{"LOST"});
}

TEST_CASE("A soak notices work that runs twice or after a refusal") {
  CHECK(Broken([](SoakHistory& history) {
          history.runs.push_back(history.runs[0]);
        }) == Rules{"TWICE"});
  CHECK(Broken([](SoakHistory& history) {
          history.runs.push_back(history.runs[0]);
          history.calls[0].safe = true;
        }).empty());
  for (const int status : {408, 421, 429, 503}) {
    CHECK(Broken([status](SoakHistory& history) {
            history.calls[0].status = status;
          }) == Rules{"REFUSED"});
  }
  CHECK(Broken([](SoakHistory& history) {
          history.calls[0].status = 503;
          history.runs[0].end = RunRecord::End::kRejected;
        }).empty());
}

TEST_CASE("A soak notices answers and bodies that belong to others") {
  CHECK(Broken([](SoakHistory& history) {
          history.calls[0].own_body = false;
        }) == Rules{"MIXED"});
  CHECK(Broken([](SoakHistory& history) {
          history.calls[0].is_signed = false;
        }) == Rules{"MIXED"});
  CHECK(Broken([](SoakHistory& history) {
          history.runs[0].own_body = false;
        }) == Rules{"UNASKED"});
}

TEST_CASE("A soak notices requests to a backend server that has left") {
  const auto leave = [](int at) {
    return [at](SoakHistory& history) {
      // Without the stop, which would put the entry out of touch.
      history.events.resize(4);
      SoakEvent leaving = Event(Kind::kLeaving, at, -1);
      leaving.instance = "i";
      history.events.push_back(leaving);
    };
  };
  CHECK(Broken(leave(17000)) == Rules{"DRAIN"});
  CHECK(Broken(leave(18000)).empty());
  CHECK(Broken([&](SoakHistory& history) {
          leave(17000)(history);
          history.events.push_back(Event(Kind::kStoreAway, 18000, -1));
        }).empty());
  // Cut off from the store, and again in touch for long enough.
  const auto cut = [&](int at, int joined_at, int entry) {
    return Broken([=](SoakHistory& history) {
      leave(17000)(history);
      history.events.push_back(Event(Kind::kStoreCut, at, entry));
      history.events.push_back(Event(Kind::kStoreJoined, joined_at, entry));
    });
  };
  CHECK(cut(16000, 30000, 0).empty());
  CHECK(cut(16000, 17100, 0).empty());
  CHECK(cut(16000, 16900, 0) == Rules{"DRAIN"});
  CHECK(cut(16000, 30000, 1) == Rules{"DRAIN"});
}

TEST_CASE("A soak notices requests handled by an older configuration") {
  // A request that runs at service `service`, and configurations acknowledged
  // at 10 s, which goes to "old", and at `at`, which goes to `next`.
  const auto configure = [](int at, const std::string& next,
                            const std::string& service) {
    return [=](SoakHistory& history) {
      // Without the stop, which would put the entry out of touch.
      history.events.resize(4);
      history.calls[0].prefix = "/a/";
      history.runs[0].service = service;
      history.configurations = {
          {SoakTime(9990), SoakTime(10000), {{"/a/", "old"}}},
          {SoakTime(at - 10), SoakTime(at), {{"/a/", next}}}};
      if (next.empty()) {
        history.configurations[1].services.clear();
      }
    };
  };
  CHECK(Broken(configure(17900, "new", "old")) == Rules{"CONFIG"});
  CHECK(Broken(configure(17900, "new", "new")).empty());
  CHECK(Broken(configure(18100, "new", "old")).empty());
  CHECK(Broken(configure(18100, "new", "new")).empty());
  CHECK(Broken(configure(20500, "new", "new")) == Rules{"CONFIG"});
  CHECK(Broken(configure(17900, "", "old")) == Rules{"CONFIG"});
  const auto refuse = [](SoakHistory& history) {
    history.calls[0].status = 404;
    history.calls[0].is_signed = false;
    history.runs.clear();
  };
  CHECK(Broken([&](SoakHistory& history) {
          configure(17900, "new", "")(history);
          refuse(history);
        }) == Rules{"CONFIG"});
  CHECK(Broken([&](SoakHistory& history) {
          configure(18100, "", "")(history);
          refuse(history);
        }).empty());
}

TEST_CASE("A soak excuses older configurations at entries out of touch") {
  const auto old_with = [](const std::vector<SoakEvent>& events) {
    return Broken([&](SoakHistory& history) {
      history.events.resize(4);
      history.events.insert(history.events.end(), events.begin(), events.end());
      history.calls[0].prefix = "/a/";
      history.runs[0].service = "old";
      history.configurations = {
          {SoakTime(9990), SoakTime(10000), {{"/a/", "old"}}},
          {SoakTime(14990), SoakTime(15000), {{"/a/", "new"}}}};
    });
  };
  for (const Kind kind : {Kind::kStart, Kind::kStop, Kind::kThaw,
                          Kind::kStoreCut, Kind::kStoreJoined}) {
    CHECK(old_with({Event(kind, 17100)}).empty());
    CHECK(old_with({Event(kind, 17100, 1)}) == Rules{"CONFIG"});
  }
  for (const Kind kind : {Kind::kSilence, Kind::kStoreSilence, Kind::kStoreAway,
                          Kind::kStoreBack}) {
    CHECK(old_with({Event(kind, 17100, -1)}).empty());
  }
  CHECK(old_with({Event(Kind::kStoreAway, 16000, -1)}).empty());
  CHECK(old_with({Event(Kind::kStoreCut, 16000)}).empty());
  CHECK(old_with({Event(Kind::kStoreAway, 14000, -1),
                  Event(Kind::kStoreBack, 16900, -1),
                  Event(Kind::kSilence, 16900, -1),
                  Event(Kind::kReload, 18000)}) == Rules{"CONFIG"});
}

TEST_CASE("A soak notices processes that end by themselves or too late") {
  CHECK(Broken([](SoakHistory& history) {
          history.events.back().status = 1;
        }) == Rules{"FAULT"});
  CHECK(Broken([](SoakHistory& history) {
          history.events.back().status = -SIGHUP;
        }) == Rules{"FAULT"});
  CHECK(Broken([](SoakHistory& history) {
          history.events.push_back(Event(Kind::kStart, 22100));
          history.events.push_back(Event(Kind::kEnd, 22200));
        }) == Rules{"FAULT"});
  CHECK(Broken([](SoakHistory& history) {
          history.events.back() = Event(Kind::kOverdueKill, 26100);
          history.events.push_back(Event(Kind::kEnd, 26110, 0, -SIGKILL));
        }) == Rules{"STOP"});
}

}  // namespace
}  // namespace acacia
