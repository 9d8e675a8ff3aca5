/* A library for LD_PRELOAD that makes system calls of one process fail, and steps its wall clock.
 *
 * FAULT_SHIM_CONTROL names a file of SLOTS 64-bit signed integers in native byte order. It is mapped shared, so that a test
 * changes faults while the process runs; all zero means that every call is the system's. Rates are calls in a thousand.
 * Only errors that Linux documents for a call are returned, and none of them with a side effect that the real call would not
 * have had: an interrupted connect goes on in the background, an interrupted read has read nothing.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/types.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum slot {
    WALL_OFFSET_NS,     /* added to CLOCK_REALTIME */
    SOCKET_EINTR,       /* reads, writes, accept, connect of sockets */
    SHORT_IO,           /* reads and writes of sockets move a part only */
    ACCEPT_RATE, ACCEPT_ERRNO,
    SOCKET_RATE, SOCKET_ERRNO,
    CONNECT_RATE, CONNECT_ERRNO,
    BROKEN_RATE, BROKEN_ERRNO, /* reads of connections that this process opened */
    DISK_RATE, DISK_ERRNO,     /* opens for writing and writes of regular files */
    LOG_RATE, LOG_ERRNO,       /* writes to standard error */
    OTHER_EINTR,        /* reads of descriptors that are neither sockets nor files: signals, events */
    WANT_RATE, WANT_ERRNO,     /* reads and writes of sockets: ENOMEM, ENOBUFS */
    INJECTED,           /* how many faults were injected so far; written by this library */
    SLOTS
};

enum origin { UNKNOWN, ACCEPTED, OPENED };

#define DESCRIPTORS 65536

static volatile int64_t none[SLOTS];
static volatile int64_t *control = none;
static unsigned char origins[DESCRIPTORS];

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("FAULT_SHIM_CONTROL");
    if (path == NULL) return;
    int file = open(path, O_RDWR | O_CLOEXEC);
    if (file < 0) return;
    void *mapped = mmap(NULL, sizeof none, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    if (mapped != MAP_FAILED) control = mapped;
    close(file);
}

#define REAL(name) \
    static __typeof__(name) *real; \
    if (real == NULL) real = (__typeof__(name) *)dlsym(RTLD_NEXT, #name)

/* Whether a fault of this rate is to be injected now. */
static int strikes(enum slot rate) {
    static __thread uint64_t state;
    int64_t in_a_thousand = control[rate];
    if (in_a_thousand <= 0) return 0;
    if (state == 0) state = ((uint64_t)getpid() << 32) ^ (uint64_t)(uintptr_t)&state ^ 0x9e3779b97f4a7c15u;
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    if ((int64_t)(state % 1000) >= in_a_thousand) return 0;
    __atomic_add_fetch((int64_t *)&control[INJECTED], 1, __ATOMIC_RELAXED);
    return 1;
}

static int fails(enum slot rate, enum slot number) {
    if (control[number] == 0 || !strikes(rate)) return 0;
    errno = (int)control[number];
    return 1;
}

static int interrupted(enum slot rate) {
    if (!strikes(rate)) return 0;
    errno = EINTR;
    return 1;
}

static mode_t kind(int fd) {
    struct stat status;
    int before = errno;
    mode_t mode = fstat(fd, &status) == 0 ? status.st_mode & S_IFMT : 0;
    errno = before;
    return mode;
}

static enum origin origin(int fd) {
    return fd >= 0 && fd < DESCRIPTORS ? (enum origin)origins[fd] : UNKNOWN;
}

static void remember(int fd, enum origin from) {
    if (fd >= 0 && fd < DESCRIPTORS) origins[fd] = (unsigned char)from;
}

static int socket_read_fails(int fd) {
    if (interrupted(SOCKET_EINTR) || fails(WANT_RATE, WANT_ERRNO)) return 1;
    return origin(fd) == OPENED && fails(BROKEN_RATE, BROKEN_ERRNO);
}

/* ---- Sockets ---- */

ssize_t recv(int fd, void *buffer, size_t size, int flags) {
    REAL(recv);
    if (socket_read_fails(fd)) return -1;
    if (size > 1 && !(flags & MSG_PEEK) && strikes(SHORT_IO)) size = 1 + size / 64;
    return real(fd, buffer, size, flags);
}

ssize_t send(int fd, const void *buffer, size_t size, int flags) {
    REAL(send);
    if (interrupted(SOCKET_EINTR) || fails(WANT_RATE, WANT_ERRNO)) return -1;
    if (size > 1 && strikes(SHORT_IO)) size = 1 + size / 64;
    return real(fd, buffer, size, flags);
}

/* The first part of a vector, where only a part is to be moved. */
static struct iovec first_part(const struct iovec *parts) {
    struct iovec first = parts[0];
    if (first.iov_len > 1) first.iov_len = 1 + first.iov_len / 64;
    return first;
}

ssize_t readv(int fd, const struct iovec *parts, int count) {
    REAL(readv);
    if (kind(fd) == S_IFSOCK) {
        if (socket_read_fails(fd)) return -1;
        if (count > 0 && parts[0].iov_len > 0 && strikes(SHORT_IO)) {
            struct iovec first = first_part(parts);
            return real(fd, &first, 1);
        }
    }
    return real(fd, parts, count);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    if (kind(fd) == S_IFSOCK) {
        if (interrupted(SOCKET_EINTR) || fails(WANT_RATE, WANT_ERRNO)) return -1;
        if (count > 0 && parts[0].iov_len > 0 && strikes(SHORT_IO)) {
            struct iovec first = first_part(parts);
            return real(fd, &first, 1);
        }
    } else if (fd == STDERR_FILENO && fails(LOG_RATE, LOG_ERRNO)) {
        return -1;
    }
    return real(fd, parts, count);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4);
    if (interrupted(SOCKET_EINTR) || fails(ACCEPT_RATE, ACCEPT_ERRNO)) return -1;
    int accepted = real(fd, address, length, flags);
    remember(accepted, ACCEPTED);
    return accepted;
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    if (fails(SOCKET_RATE, SOCKET_ERRNO)) return -1;
    int opened = real(domain, type, protocol);
    remember(opened, UNKNOWN);
    return opened;
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    if (fails(CONNECT_RATE, CONNECT_ERRNO)) return -1;
    remember(fd, OPENED);
    int connected = real(fd, address, length);
    /* The connection goes on coming up, as after a signal. */
    if (connected < 0 && errno == EINPROGRESS && interrupted(SOCKET_EINTR)) return -1;
    return connected;
}

/* ---- Files, standard error, signals and events ---- */

ssize_t read(int fd, void *buffer, size_t size) {
    REAL(read);
    switch (kind(fd)) {
    case S_IFSOCK: if (socket_read_fails(fd)) return -1; break;
    case 0: if (interrupted(OTHER_EINTR)) return -1; break;
    default: break;
    }
    return real(fd, buffer, size);
}

ssize_t write(int fd, const void *buffer, size_t size) {
    REAL(write);
    if (fd == STDERR_FILENO) {
        if (fails(LOG_RATE, LOG_ERRNO)) return -1;
    } else if (kind(fd) == S_IFREG) {
        if (fails(DISK_RATE, DISK_ERRNO)) return -1;
    }
    return real(fd, buffer, size);
}

ssize_t pwrite64(int fd, const void *buffer, size_t size, off64_t at) {
    REAL(pwrite64);
    if (fails(DISK_RATE, DISK_ERRNO)) return -1;
    return real(fd, buffer, size, at);
}

int open64(const char *path, int flags, ...) {
    REAL(open64);
    mode_t mode = 0;
    if (flags & (O_CREAT | O_TMPFILE)) {
        va_list rest;
        va_start(rest, flags);
        mode = va_arg(rest, mode_t);
        va_end(rest);
    }
    if ((flags & O_ACCMODE) != O_RDONLY && fails(DISK_RATE, DISK_ERRNO)) return -1;
    return real(path, flags, mode);
}

/* ---- The wall clock ---- */

int clock_gettime(clockid_t clock, struct timespec *time) {
    REAL(clock_gettime);
    int told = real(clock, time);
    if (told == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t nanoseconds = (int64_t)time->tv_sec * 1000000000 + time->tv_nsec + control[WALL_OFFSET_NS];
        time->tv_sec = nanoseconds / 1000000000;
        time->tv_nsec = nanoseconds % 1000000000;
    }
    return told;
}
