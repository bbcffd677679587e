// Strong typedefs, which prevent mixing up identifiers and quantities of
// different meaning. StrongString<Tag> wraps a string, StrongNumber<Tag, T> a
// number. Both can be compared and hashed; neither converts implicitly.
#ifndef SRC_STRONG_TYPE_H_
#define SRC_STRONG_TYPE_H_

#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace acacia {

template <typename Tag>
class StrongString {
 public:
  StrongString() = default;
  explicit StrongString(std::string text) : text(std::move(text)) {}

  const std::string& Value() const { return this->text; }
  bool IsEmpty() const { return this->text.empty(); }
  bool operator==(const StrongString&) const = default;
  bool operator<(const StrongString& other) const {
    return this->text < other.text;
  }

 private:
  std::string text;
};

template <typename Tag, typename T>
class StrongNumber {
 public:
  using Underlying = T;

  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(T number) : number(number) {}

  constexpr T Value() const { return this->number; }
  constexpr StrongNumber Next() const {
    return StrongNumber(static_cast<T>(this->number + 1));
  }
  bool operator==(const StrongNumber&) const = default;
  bool operator<(const StrongNumber& other) const {
    return this->number < other.number;
  }
  bool operator>(const StrongNumber& other) const { return other < *this; }
  bool operator<=(const StrongNumber& other) const { return !(other < *this); }
  bool operator>=(const StrongNumber& other) const { return !(*this < other); }

 private:
  T number{};
};

template <typename Tag>
std::ostream& operator<<(std::ostream& out, const StrongString<Tag>& value) {
  return out << value.Value();
}

template <typename Tag, typename T>
std::ostream& operator<<(std::ostream& out, const StrongNumber<Tag, T>& value) {
  return out << value.Value();
}

}  // namespace acacia

template <typename Tag>
struct std::hash<acacia::StrongString<Tag>> {
  std::size_t operator()(const acacia::StrongString<Tag>& value) const {
    return std::hash<std::string>()(value.Value());
  }
};

template <typename Tag, typename T>
struct std::hash<acacia::StrongNumber<Tag, T>> {
  std::size_t operator()(const acacia::StrongNumber<Tag, T>& value) const {
    return std::hash<T>()(value.Value());
  }
};

#endif  // SRC_STRONG_TYPE_H_
