#include "storage/file_io.h"

#include "base/digest.h"
#include <fcntl.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace arbutus::storage::impl {

storage_error errorFromErrno(const std::string &File, std::string Detail) {
  const int ErrorNumber = errno;
  const bool Full = ErrorNumber == ENOSPC || ErrorNumber == EDQUOT;
  return {Full ? storage_errc::DiskFull : storage_errc::Io, File,
          std::move(Detail) + ": " + std::strerror(ErrorNumber), ErrorNumber};
}

storage_result<open_file> open_file::open(const file_operations &Files,
                                          const std::string &Path, int Flags) {
  open_file File;
  File.Descriptor = Files.Open(Path, Flags);
  if (File.Descriptor < 0) {
    return errorFromErrno(Path, "open");
  }
  File.Files = &Files;
  File.Path = Path;
  return File;
}

open_file::open_file(open_file &&Other) noexcept
    : Files(Other.Files), Descriptor(std::exchange(Other.Descriptor, -1)),
      Path(std::move(Other.Path)) {}

open_file &open_file::operator=(open_file &&Other) noexcept {
  std::swap(Files, Other.Files);
  std::swap(Descriptor, Other.Descriptor);
  std::swap(Path, Other.Path);
  return *this;
}

open_file::~open_file() {
  if (isOpen()) {
    Files->Close(Descriptor);
  }
}

storage_result<void> open_file::write(std::string_view Bytes) {
  while (!Bytes.empty()) {
    const auto Written = Files->Write(Descriptor, Bytes.data(), Bytes.size());
    if (Written < 0) {
      return errorFromErrno(Path, "write");
    }
    if (Written == 0) {
      return storage_error{storage_errc::Io, Path, "write made no progress", 0};
    }
    Bytes.remove_prefix(static_cast<std::size_t>(Written));
  }
  return outcome::success();
}

storage_result<std::string> open_file::readAll() {
  std::string Content;
  std::vector<char> Part(std::size_t{256} * 1024);
  for (;;) {
    const auto Size = Files->Read(Descriptor, Part.data(), Part.size());
    if (Size < 0) {
      return errorFromErrno(Path, "read");
    }
    if (Size == 0) {
      return Content;
    }
    Content.append(Part.data(), static_cast<std::size_t>(Size));
  }
}

storage_result<void> open_file::sync() {
  if (Files->Sync(Descriptor) != 0) {
    auto Error = errorFromErrno(Path, "sync");
    Error.Code = storage_errc::SyncFailed;
    return Error;
  }
  return outcome::success();
}

storage_result<void> open_file::truncate(std::size_t Size) {
  if (Files->Truncate(Descriptor, Size) != 0) {
    return errorFromErrno(Path, "truncate");
  }
  return outcome::success();
}

storage_result<void> makeDirectory(const file_operations &Files,
                                   const std::string &Path) {
  if (Files.MakeDirectory(Path) != 0 && errno != EEXIST) {
    return errorFromErrno(Path, "create directory");
  }
  return outcome::success();
}

storage_result<void> syncDirectory(const file_operations &Files,
                                   const std::string &Path) {
  BOOST_OUTCOME_TRY(Directory,
                    open_file::open(Files, Path, O_RDONLY | O_DIRECTORY));
  return Directory.sync();
}

storage_result<void> removeFile(const file_operations &Files,
                                const std::string &Path) {
  if (Files.Remove(Path) != 0 && errno != ENOENT) {
    return errorFromErrno(Path, "remove");
  }
  return outcome::success();
}

storage_result<std::vector<std::string>>
listDirectory(const file_operations &Files, const std::string &Path) {
  std::vector<std::string> Names;
  if (Files.ListDirectory(Path, Names) != 0) {
    return errorFromErrno(Path, "list");
  }
  std::sort(Names.begin(), Names.end());
  return Names;
}

storage_result<void> replaceFile(const file_operations &Files,
                                 const std::string &Directory,
                                 const std::string &Name,
                                 std::string_view Content) {
  const auto Path = Directory + "/" + Name;
  const auto Temporary = Path + std::string(TemporarySuffix);
  std::string Checksum;
  appendUint64(Checksum, hash64(Content));
  {
    BOOST_OUTCOME_TRY(
        File, open_file::open(Files, Temporary, O_WRONLY | O_CREAT | O_TRUNC));
    BOOST_OUTCOME_TRY(File.write(Checksum));
    BOOST_OUTCOME_TRY(File.write(Content));
    BOOST_OUTCOME_TRY(File.sync());
  }
  if (Files.Rename(Temporary, Path) != 0) {
    return errorFromErrno(Path, "rename");
  }
  return syncDirectory(Files, Directory);
}

storage_result<std::string> readWithChecksum(const file_operations &Files,
                                             const std::string &Path) {
  BOOST_OUTCOME_TRY(File, open_file::open(Files, Path, O_RDONLY));
  BOOST_OUTCOME_TRY(Content, File.readAll());
  constexpr std::size_t ChecksumBytes = sizeof(std::uint64_t);
  if (Content.size() < ChecksumBytes ||
      readUint64(Content, 0) !=
          hash64(std::string_view(Content).substr(ChecksumBytes))) {
    return storage_error{storage_errc::Corrupt, Path, "wrong checksum", 0};
  }
  Content.erase(0, ChecksumBytes);
  return Content;
}

void appendUint64(std::string &Bytes, std::uint64_t Value) {
  for (unsigned Shift = 0; Shift < 64; Shift += 8) {
    Bytes.push_back(static_cast<char>((Value >> Shift) & 0xffU));
  }
}

std::uint64_t readUint64(std::string_view Bytes, std::size_t Offset) noexcept {
  std::uint64_t Value = 0;
  for (unsigned Byte = 0; Byte < 8; ++Byte) {
    Value |= std::uint64_t{static_cast<unsigned char>(Bytes[Offset + Byte])}
             << (Byte * 8);
  }
  return Value;
}

} // namespace arbutus::storage::impl
