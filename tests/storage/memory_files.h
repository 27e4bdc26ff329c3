#ifndef ARBUTUS_TESTS_STORAGE_MEMORY_FILES_H
#define ARBUTUS_TESTS_STORAGE_MEMORY_FILES_H

#include "storage/storage.h"
#include <fcntl.h>

#include <algorithm>
#include <cerrno>
#include <iterator>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace arbutus::storage::fake {

/// Files in memory that keep no more than POSIX guarantees: bytes survive a
/// crash only after a sync of the file, names only after a sync of their
/// directory. Single calls can be made to fail.
class memory_files {
public:
  /// Bytes that can be written before the disk is full.
  std::size_t FreeBytes = std::size_t{1} << 40;
  std::size_t MaxBytesPerWrite = std::size_t{1}
                                 << 40; ///< limit for short writes
  int SyncsUntilFailure = -1;           ///< negative: never fails
  std::size_t Syncs = 0;

  [[nodiscard]] file_operations operations() {
    file_operations Files;
    Files.Open = [this](const std::string &P, int F) { return open(P, F); };
    Files.Write = [this](int File, const char *Bytes, std::size_t Size) {
      return write(File, Bytes, Size);
    };
    Files.Read = [this](int File, char *Bytes, std::size_t Size) {
      return read(File, Bytes, Size);
    };
    Files.Sync = [this](int File) { return sync(File); };
    Files.Truncate = [this](int File, std::size_t Size) {
      Open.at(File).File->Data.resize(Size);
      return 0;
    };
    Files.Close = [this](int File) {
      Locked.erase(File);
      Open.erase(File);
      return 0;
    };
    Files.Rename = [this](const std::string &From, const std::string &To) {
      Names[To] = Names.at(From);
      Names.erase(From);
      return 0;
    };
    Files.Remove = [this](const std::string &Path) {
      return Names.erase(Path) == 1 ? 0 : fail(ENOENT);
    };
    Files.MakeDirectory = [this](const std::string &Path) {
      return Directories.insert(Path).second ? 0 : fail(EEXIST);
    };
    Files.ListDirectory = [this](const std::string &Path,
                                 std::vector<std::string> &Found) {
      for (const auto &[Name, File] : Names) {
        if (directoryOf(Name) == Path) {
          Found.push_back(Name.substr(Path.size() + 1));
        }
      }
      return 0;
    };
    Files.Lock = [this](int File) {
      const auto Same = [this, File](int Other) {
        return Open.at(Other).Path == Open.at(File).Path;
      };
      if (std::any_of(Locked.begin(), Locked.end(), Same)) {
        return fail(EWOULDBLOCK);
      }
      Locked.insert(File);
      return 0;
    };
    return Files;
  }

  /// Content of a file, for reading or damaging it.
  [[nodiscard]] std::string &content(const std::string &Path) {
    return Names.at(Path)->Data;
  }
  [[nodiscard]] bool exists(const std::string &Path) const {
    return Names.count(Path) == 1;
  }
  void remove(const std::string &Path) { Names.erase(Path); }

  /// Names that were removed and whose directory was not synced since. A power
  /// loss may bring back any of them.
  [[nodiscard]] std::vector<std::string> unsyncedRemovals() const {
    std::vector<std::string> Removed;
    for (const auto &[Name, File] : SyncedNames) {
      if (!exists(Name)) {
        Removed.push_back(Name);
      }
    }
    return Removed;
  }
  /// Brings back a removed name, as a power loss may.
  void restoreName(const std::string &Name) {
    Names[Name] = SyncedNames.at(Name);
  }

  /// Simulates a power loss: names return to their last sync, and of unsynced
  /// bytes a random part remains, which may be damaged.
  void crash(std::mt19937_64 &Random) {
    Names = SyncedNames;
    for (auto &[Path, File] : Names) {
      auto Left = File->Synced;
      if (File->Data.size() > Left.size()) {
        const auto Extra = Random() % (File->Data.size() - Left.size() + 1);
        Left += File->Data.substr(Left.size(), Extra);
        if (Extra > 0 && Random() % 2 == 0) {
          Left[File->Synced.size() + Random() % Extra] ^= 0x40;
        }
      }
      File->Data = File->Synced = Left;
    }
  }

private:
  struct inode {
    std::string Data;
    std::string Synced;
  };
  struct descriptor {
    std::string Path;
    std::shared_ptr<inode> File; ///< null for a directory
    std::size_t Position = 0;
  };

  static int fail(int Number) {
    errno = Number;
    return -1;
  }
  static std::string directoryOf(const std::string &Path) {
    return Path.substr(0, Path.rfind('/'));
  }

  int open(const std::string &Path, int Flags) {
    if (Directories.count(Path) == 1) {
      Open[++LastDescriptor] = {Path, nullptr, 0};
      return LastDescriptor;
    }
    if (!exists(Path)) {
      if ((Flags & O_CREAT) == 0) {
        return fail(ENOENT);
      }
      Names[Path] = std::make_shared<inode>();
    }
    if ((Flags & O_TRUNC) != 0) {
      Names[Path]->Data.clear();
    }
    Open[++LastDescriptor] = {Path, Names[Path], 0};
    return LastDescriptor;
  }

  ssize_t write(int File, const char *Bytes, std::size_t Size) {
    if (FreeBytes == 0) {
      return fail(ENOSPC);
    }
    Size = std::min({Size, FreeBytes, MaxBytesPerWrite});
    FreeBytes -= Size;
    Open.at(File).File->Data.append(Bytes, Size);
    return static_cast<ssize_t>(Size);
  }

  ssize_t read(int File, char *Bytes, std::size_t Size) {
    auto &Descriptor = Open.at(File);
    const auto Count =
        Descriptor.File->Data.copy(Bytes, Size, Descriptor.Position);
    Descriptor.Position += Count;
    return static_cast<ssize_t>(Count);
  }

  int sync(int File) {
    ++Syncs;
    if (SyncsUntilFailure == 0) {
      return fail(EIO);
    }
    SyncsUntilFailure -= SyncsUntilFailure > 0 ? 1 : 0;
    auto &Descriptor = Open.at(File);
    if (Descriptor.File != nullptr) {
      Descriptor.File->Synced = Descriptor.File->Data;
      return 0;
    }
    const auto In = [&Descriptor](const auto &Item) {
      return directoryOf(Item.first) == Descriptor.Path;
    };
    std::erase_if(SyncedNames, In);
    std::copy_if(Names.begin(), Names.end(),
                 std::inserter(SyncedNames, SyncedNames.end()), In);
    return 0;
  }

  std::map<std::string, std::shared_ptr<inode>> Names;
  std::map<std::string, std::shared_ptr<inode>> SyncedNames;
  std::set<std::string> Directories;
  std::map<int, descriptor> Open;
  std::set<int> Locked;
  int LastDescriptor = 2;
};

} // namespace arbutus::storage::fake

#endif
