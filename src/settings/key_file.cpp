#include "settings/key_file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>

namespace arbutus::settings {

namespace {

/// Closes its file descriptor when destroyed.
struct open_file {
  explicit open_file(int Descriptor) noexcept : Descriptor(Descriptor) {}
  open_file(const open_file &) = delete;
  open_file &operator=(const open_file &) = delete;
  ~open_file() {
    if (Descriptor >= 0) {
      close(Descriptor);
    }
  }

  int Descriptor;
};

} // namespace

result<std::string, key_file_error>
readKeyFile(const std::filesystem::path &File) {
  // O_NONBLOCK, because opening a named pipe would wait for a writer.
  const open_file Opened(open(File.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
  struct stat Status {};
  // The checks use the open descriptor, so that the file cannot be replaced
  // between check and read.
  if (Opened.Descriptor < 0 || fstat(Opened.Descriptor, &Status) != 0) {
    return key_file_error::Unreadable;
  }
  if (!S_ISREG(Status.st_mode)) {
    return key_file_error::NotRegular;
  }
  if (Status.st_uid != geteuid()) {
    return key_file_error::WrongOwner;
  }
  if ((Status.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
    return key_file_error::InsecurePermissions;
  }
  std::string Key;
  std::array<char, MaxKeyBytes> Buffer{};
  while (true) {
    const auto Count = ::read(Opened.Descriptor, Buffer.data(), Buffer.size());
    if (Count < 0) {
      return key_file_error::Unreadable;
    }
    if (Count == 0) {
      break;
    }
    Key.append(Buffer.data(), static_cast<std::size_t>(Count));
    if (Key.size() > MaxKeyBytes) {
      return key_file_error::TooLong;
    }
  }
  while (!Key.empty() && (Key.back() == '\n' || Key.back() == '\r')) {
    Key.pop_back();
  }
  if (Key.size() < MinKeyBytes) {
    return key_file_error::TooShort;
  }
  return Key;
}

std::string_view errorMessage(key_file_error Error) noexcept {
  switch (Error) {
  case key_file_error::Unreadable:
    return "cannot be read";
  case key_file_error::NotRegular:
    return "is not a regular file";
  case key_file_error::WrongOwner:
    return "does not belong to the user of this process";
  case key_file_error::InsecurePermissions:
    return "must be accessible to its owner only (mode 0600 or 0400)";
  case key_file_error::TooShort:
    return "holds a key of less than 16 bytes";
  case key_file_error::TooLong:
    return "holds a key of more than 4096 bytes";
  }
  return "is invalid";
}

} // namespace arbutus::settings
