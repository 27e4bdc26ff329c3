#ifndef ARBUTUS_STORAGE_FILE_IO_H
#define ARBUTUS_STORAGE_FILE_IO_H

#include "storage/file_operations.h"
#include "storage/storage_error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace arbutus::storage::impl {

/// Makes an error from `errno`. `ENOSPC` and `EDQUOT` become `DiskFull`.
[[nodiscard]] storage_error errorFromErrno(const std::string &File,
                                           std::string Detail);

/// A file descriptor that its destructor closes. Errors contain the file's
/// path.
class open_file {
public:
  [[nodiscard]] static storage_result<open_file>
  open(const file_operations &Files, const std::string &Path, int Flags);

  open_file() = default;
  open_file(open_file &&Other) noexcept;
  open_file &operator=(open_file &&Other) noexcept;
  ~open_file();

  [[nodiscard]] bool isOpen() const noexcept { return Descriptor >= 0; }
  [[nodiscard]] int descriptor() const noexcept { return Descriptor; }

  /// Writes all bytes, with further calls after a short write.
  [[nodiscard]] storage_result<void> write(std::string_view Bytes);
  [[nodiscard]] storage_result<std::string> readAll();
  [[nodiscard]] storage_result<void> sync();
  [[nodiscard]] storage_result<void> truncate(std::size_t Size);

private:
  const file_operations *Files = nullptr;
  int Descriptor = -1;
  std::string Path;
};

/// Creates a directory unless it exists.
[[nodiscard]] storage_result<void> makeDirectory(const file_operations &Files,
                                                 const std::string &Path);

/// Makes creations, renames and removals in a directory durable.
[[nodiscard]] storage_result<void> syncDirectory(const file_operations &Files,
                                                 const std::string &Path);

/// Removes a file; succeeds if it does not exist.
[[nodiscard]] storage_result<void> removeFile(const file_operations &Files,
                                              const std::string &Path);

/// Returns the sorted names in a directory.
[[nodiscard]] storage_result<std::vector<std::string>>
listDirectory(const file_operations &Files, const std::string &Path);

/// Atomically replaces `Directory/Name`: writes a checksum and the content to a
/// temporary file, syncs it, renames it and syncs the directory.
[[nodiscard]] storage_result<void> replaceFile(const file_operations &Files,
                                               const std::string &Directory,
                                               const std::string &Name,
                                               std::string_view Content);

/// Reads a file that `replaceFile` wrote. A wrong checksum fails with
/// `Corrupt`.
[[nodiscard]] storage_result<std::string>
readWithChecksum(const file_operations &Files, const std::string &Path);

/// Fixed-width little-endian encoding of numbers in files.
void appendUint64(std::string &Bytes, std::uint64_t Value);
[[nodiscard]] std::uint64_t readUint64(std::string_view Bytes,
                                       std::size_t Offset) noexcept;

/// Suffix of files being written. `readSnapshot` removes unfinished ones.
inline constexpr std::string_view TemporarySuffix = ".tmp";

} // namespace arbutus::storage::impl

#endif
