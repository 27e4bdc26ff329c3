#ifndef ARBUTUS_STORAGE_FILE_IO_H
#define ARBUTUS_STORAGE_FILE_IO_H

#include "storage/file_operations.h"
#include "storage/storage_error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace arbutus::storage::impl {

/// Makes an error from `errno`; no space left becomes `DiskFull`.
[[nodiscard]] storage_error errorFromErrno(const std::string &File,
                                           std::string Detail);

/// A file that is closed with its object. Errors name its path.
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

  /// Writes everything, in several calls if one writes less.
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

/// Removes a file; one that does not exist is no error.
[[nodiscard]] storage_result<void> removeFile(const file_operations &Files,
                                              const std::string &Path);

/// Returns the sorted names in a directory.
[[nodiscard]] storage_result<std::vector<std::string>>
listDirectory(const file_operations &Files, const std::string &Path);

/// Replaces `Directory/Name` as a whole: writes a temporary file, syncs it,
/// renames it and syncs the directory. The content gets a checksum.
[[nodiscard]] storage_result<void> replaceFile(const file_operations &Files,
                                               const std::string &Directory,
                                               const std::string &Name,
                                               std::string_view Content);

/// Reads a file that `replaceFile` wrote. A wrong checksum is `Corrupt`.
[[nodiscard]] storage_result<std::string>
readWithChecksum(const file_operations &Files, const std::string &Path);

/// Fixed-width little-endian numbers in file formats.
void appendUint64(std::string &Bytes, std::uint64_t Value);
[[nodiscard]] std::uint64_t readUint64(std::string_view Bytes,
                                       std::size_t Offset) noexcept;

/// Suffix of files that are being written; they are removed on opening.
inline constexpr std::string_view TemporarySuffix = ".tmp";

} // namespace arbutus::storage::impl

#endif
