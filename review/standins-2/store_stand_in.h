// A stand-in of the platform's metadata store, read by the daemons under test.
//
// Thread-safe.

#ifndef REVIEW_STANDINS_2_STORE_STAND_IN_H_
#define REVIEW_STANDINS_2_STORE_STAND_IN_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "review/standins-2/http_stand_in.h"

namespace review {

class StoreStandIn {
 public:
  void Put(const std::string& key, const std::string& value);
  void Delete(const std::string& key);

  // Answers kv-key, kv-range and kv-watch.
  HttpResponse Handle(const HttpRequest& request);

 private:
  struct Event {
    std::uint64_t revision = 0;
    std::string json;
  };
  struct Item {
    std::uint64_t revision = 0;
    std::string json;
  };

  HttpResponse Range(const HttpRequest& request);
  HttpResponse Watch(const HttpRequest& request);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 1;
  std::map<std::string, Item> items_;
  std::vector<Event> events_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_STORE_STAND_IN_H_
