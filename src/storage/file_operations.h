#ifndef ARBUTUS_STORAGE_FILE_OPERATIONS_H
#define ARBUTUS_STORAGE_FILE_OPERATIONS_H

#include <sys/types.h>

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace arbutus::storage {

/// File system calls of the storage code. They follow POSIX: a negative result
/// is a failure with `errno` set, and `Write` may write less than requested.
/// Tests replace single calls to inject failures.
struct file_operations {
  std::function<int(const std::string &Path, int Flags)> Open;
  std::function<ssize_t(int File, const char *Bytes, std::size_t Size)> Write;
  std::function<ssize_t(int File, char *Bytes, std::size_t Size)> Read;
  std::function<int(int File)> Sync;
  std::function<int(int File, std::size_t Size)> Truncate;
  std::function<int(int File)> Close;
  std::function<int(const std::string &From, const std::string &To)> Rename;
  std::function<int(const std::string &Path)> Remove;
  std::function<int(const std::string &Path)> MakeDirectory;
  /// Appends the names in a directory, without "." and "..".
  std::function<int(const std::string &Path, std::vector<std::string> &Names)>
      ListDirectory;
  /// Acquires an exclusive lock without waiting. `Close` or the end of the
  /// process releases it.
  std::function<int(int File)> Lock;
};

/// Returns the implementation that calls the operating system.
[[nodiscard]] file_operations posixFileOperations();

} // namespace arbutus::storage

#endif
