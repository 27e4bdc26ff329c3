#ifndef ARBUTUS_TOOLS_COMMON_SERVICE_EXECUTION_LOG_H
#define ARBUTUS_TOOLS_COMMON_SERVICE_EXECUTION_LOG_H

#include <cstdint>
#include <cstdio>
#include <fstream>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace arbutus::tools {

/// One execution of a non-idempotent request.
struct execution {
  std::string Ref;
  std::string Method;
  std::string Path;
  std::string RequestId;
  std::string IdempotencyKey;
  /// Account of a deposit or item of an order.
  std::string Subject;
  std::int64_t Amount = 0;
  std::int64_t TimeMs = 0;
  /// Port of the worker that executed it.
  int Worker = 0;
};

/// Append-only record of executions. Several workers may share one file: each
/// sees the lines of the others after `refresh`. A restart keeps all lines.
class execution_log {
public:
  /// Keeps the record in memory only if `Path` is empty.
  explicit execution_log(const std::string &Path);

  /// True if the file could be opened.
  [[nodiscard]] bool valid() const noexcept { return Path.empty() || Output; }

  /// Appends one line and writes it out before it returns.
  void append(const execution &Execution);

  /// Reads the complete lines that were added to the file.
  void refresh();

  [[nodiscard]] const std::vector<execution> &all() const noexcept {
    return Executions;
  }
  /// Sum of the amounts under a subject; every execution counts, so that a
  /// double execution shows in the balance.
  [[nodiscard]] std::int64_t balance(const std::string &Subject) const;
  /// Number of executions with this ref.
  [[nodiscard]] int countOf(const std::string &Ref) const;
  /// The first execution with this ref, or null.
  [[nodiscard]] const execution *find(const std::string &Ref) const;
  /// Refs that were executed more than once.
  [[nodiscard]] std::vector<std::string> doubles() const;

private:
  struct ref_entry {
    std::size_t First;
    int Count;
  };
  struct closer {
    void operator()(std::FILE *File) const noexcept { std::fclose(File); }
  };

  void index(execution Execution);

  std::string Path;
  std::unique_ptr<std::FILE, closer> Output;
  std::ifstream Input;
  std::string Partial;
  std::vector<execution> Executions;
  std::unordered_map<std::string, ref_entry> Refs;
  std::unordered_map<std::string, std::int64_t> Balances;
};

/// One JSON line without a line feed.
[[nodiscard]] std::string executionLine(const execution &Execution);

} // namespace arbutus::tools

#endif
