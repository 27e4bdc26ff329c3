#include "storage/file_operations.h"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <string_view>

namespace arbutus::storage {
namespace {

/// Repeats a call while it fails with `EINTR`.
template <class Function> auto retryOnInterrupt(Function &&Call) {
  auto Result = Call();
  while (Result < 0 && errno == EINTR) {
    Result = Call();
  }
  return Result;
}

int listDirectory(const std::string &Path, std::vector<std::string> &Names) {
  DIR *Directory = ::opendir(Path.c_str());
  if (Directory == nullptr) {
    return -1;
  }
  errno = 0;
  while (const dirent *Entry = ::readdir(Directory)) {
    const std::string_view Name = Entry->d_name;
    if (Name != "." && Name != "..") {
      Names.emplace_back(Name);
    }
  }
  const int Failure = errno;
  ::closedir(Directory);
  errno = Failure;
  return Failure == 0 ? 0 : -1;
}

} // namespace

file_operations posixFileOperations() {
  file_operations Files;
  Files.Open = [](const std::string &Path, int Flags) {
    return retryOnInterrupt(
        [&] { return ::open(Path.c_str(), Flags | O_CLOEXEC, 0600); });
  };
  Files.Write = [](int File, const char *Bytes, std::size_t Size) {
    return retryOnInterrupt([&] { return ::write(File, Bytes, Size); });
  };
  Files.Read = [](int File, char *Bytes, std::size_t Size) {
    return retryOnInterrupt([&] { return ::read(File, Bytes, Size); });
  };
  Files.Sync = [](int File) {
    return retryOnInterrupt([&] { return ::fsync(File); });
  };
  Files.Truncate = [](int File, std::size_t Size) {
    return retryOnInterrupt(
        [&] { return ::ftruncate(File, static_cast<off_t>(Size)); });
  };
  Files.Close = [](int File) { return ::close(File); };
  Files.Rename = [](const std::string &From, const std::string &To) {
    return std::rename(From.c_str(), To.c_str());
  };
  Files.Remove = [](const std::string &Path) { return ::unlink(Path.c_str()); };
  Files.MakeDirectory = [](const std::string &Path) {
    return ::mkdir(Path.c_str(), 0700);
  };
  Files.ListDirectory = listDirectory;
  // Unlike fcntl, flock also excludes a second descriptor of the same process.
  Files.Lock = [](int File) {
    return retryOnInterrupt([&] { return ::flock(File, LOCK_EX | LOCK_NB); });
  };
  return Files;
}

} // namespace arbutus::storage
