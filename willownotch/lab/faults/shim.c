/* Makes named library calls of one process fail, be short, be interrupted or slow; loaded by LD_PRELOAD.
 *
 * FAULT_SHIM_PLAN has the rules, separated by spaces: CALL:EFFECT:RATE[:FROM[:TO]]. RATE is a probability, or
 * #N for the Nth call alone. FROM and TO are seconds since the process began. EFFECT is the number of an error,
 * "short" or "slow". Rules for files strike below FAULT_SHIM_FOLDER only, those for sockets IP sockets only.
 * FAULT_SHIM_SEED seeds the draws. FAULT_SHIM_STEP, "SECONDS[:FROM]", steps the wall clock. FAULT_SHIM_LOG is
 * appended a line "CALL EFFECT" for each that struck. A test tool: never part of a sender.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#define RULES_MOST 64
#define FDS_MOST 4096
#define EFFECT_SHORT -1
#define EFFECT_SLOW -2
#define SLOW_NS 15000000L

struct rule {
    char call[20];
    int effect;
    double rate;
    long nth;
    double from, to;
    atomic_long seen;
};

static struct rule rules[RULES_MOST];
static int rule_count;
static char folder[512];
static size_t folder_length;
static atomic_char in_folder[FDS_MOST];
static int log_fd = -1;
static double began, step_s, step_from;
static _Atomic uint64_t state;

static double monotonic(void) {
    struct timespec t;
    syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &t);
    return t.tv_sec + t.tv_nsec / 1e9;
}

__attribute__((constructor)) static void load(void) {
    const char *text = getenv("FAULT_SHIM_PLAN"), *value;
    began = monotonic();
    state = 0x9e3779b97f4a7c15ULL ^ strtoull((value = getenv("FAULT_SHIM_SEED")) ? value : "1", NULL, 10);
    if ((value = getenv("FAULT_SHIM_STEP")))
        sscanf(value, "%lf:%lf", &step_s, &step_from);
    if ((value = getenv("FAULT_SHIM_FOLDER"))) {
        snprintf(folder, sizeof folder, "%s", value);
        folder_length = strlen(folder);
    }
    if ((value = getenv("FAULT_SHIM_LOG")))
        log_fd = syscall(SYS_openat, AT_FDCWD, value, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    char *copy = strdup(text ? text : ""), *rest = copy, *word;
    while ((word = strsep(&rest, " ")) && rule_count < RULES_MOST) {
        struct rule *r = &rules[rule_count];
        char effect[20], rate[20];
        r->from = 0;
        r->to = 1e9;
        if (sscanf(word, "%19[^:]:%19[^:]:%19[^:]:%lf:%lf", r->call, effect, rate, &r->from, &r->to) < 3)
            continue;
        r->effect = !strcmp(effect, "short") ? EFFECT_SHORT : !strcmp(effect, "slow") ? EFFECT_SLOW : atoi(effect);
        if (rate[0] == '#')
            r->nth = atol(rate + 1);
        else
            r->rate = atof(rate);
        rule_count++;
    }
    free(copy);
}

static double draw(void) {
    uint64_t x = atomic_fetch_add(&state, 0x9e3779b97f4a7c15ULL);
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return ((x ^ (x >> 31)) >> 11) / 9007199254740992.0;
}

/* What befalls this call: 0 for nothing, an error's number, EFFECT_SHORT; a slow one has been waited for. */
static int strike(const char *call) {
    double now = -1;
    int found = 0;
    for (int i = 0; i < rule_count; i++) {
        struct rule *r = &rules[i];
        if (strcmp(r->call, call))
            continue;
        if (now < 0)
            now = monotonic() - began;
        if (now < r->from || now > r->to)
            continue;
        long number = atomic_fetch_add(&r->seen, 1) + 1; /* each rule counts all calls of its name */
        if (found || (r->nth ? number != r->nth : draw() >= r->rate))
            continue;
        if (log_fd >= 0) {
            char line[64];
            int length = snprintf(line, sizeof line, "%s %d\n", call, r->effect);
            syscall(SYS_write, log_fd, line, length);
        }
        if (r->effect != EFFECT_SLOW) {
            found = r->effect;
            continue;
        }
        struct timespec wait = {0, (long)(SLOW_NS * draw())};
        syscall(SYS_nanosleep, &wait, NULL);
    }
    return found;
}

static int below(const char *path) {
    return folder_length && !strncmp(path, folder, folder_length);
}

static void opened(int fd, const char *path) {
    if (fd >= 0 && fd < FDS_MOST)
        in_folder[fd] = below(path);
}

static int ours(int fd) {
    return fd >= 0 && fd < FDS_MOST && in_folder[fd];
}

static int is_ip(int fd) {
    int domain = 0;
    socklen_t length = sizeof domain;
    return !syscall(SYS_getsockopt, fd, SOL_SOCKET, SO_DOMAIN, &domain, &length) && domain == AF_INET;
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))
#define FAIL(effect) do { errno = (effect); return -1; } while (0)
#define SHORTEN(length) ((length) > 1 ? 1 + (size_t)(draw() * ((length) - 1)) : (length))

int socket(int domain, int type, int protocol) {
    int effect = domain == AF_INET ? strike("socket") : 0;
    if (effect > 0)
        FAIL(effect);
    return syscall(SYS_socket, domain, type, protocol);
}

int bind(int fd, const struct sockaddr *address, socklen_t length) {
    int effect = is_ip(fd) ? strike("bind") : 0;
    if (effect > 0)
        FAIL(effect);
    return syscall(SYS_bind, fd, address, length);
}

int listen(int fd, int backlog) {
    int effect = is_ip(fd) ? strike("listen") : 0;
    if (effect > 0)
        FAIL(effect);
    return syscall(SYS_listen, fd, backlog);
}

int setsockopt(int fd, int level, int name, const void *value, socklen_t length) {
    int effect = is_ip(fd) ? strike("setsockopt") : 0;
    if (effect > 0)
        FAIL(effect);
    return syscall(SYS_setsockopt, fd, level, name, value, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    int effect = is_ip(fd) ? strike("accept") : 0;
    if (effect > 0)
        FAIL(effect);
    return REAL(accept4)(fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    int effect = is_ip(fd) ? strike("connect") : 0;
    if (effect > 0)
        FAIL(effect);
    return REAL(connect)(fd, address, length);
}

ssize_t recv(int fd, void *data, size_t length, int flags) {
    int effect = is_ip(fd) ? strike("recv") : 0;
    if (effect > 0)
        FAIL(effect);
    return REAL(recv)(fd, data, effect == EFFECT_SHORT ? SHORTEN(length) : length, flags);
}

ssize_t send(int fd, const void *data, size_t length, int flags) {
    int effect = is_ip(fd) ? strike("send") : 0;
    if (effect > 0)
        FAIL(effect);
    return REAL(send)(fd, data, effect == EFFECT_SHORT ? SHORTEN(length) : length, flags);
}

int poll(struct pollfd *fds, nfds_t count, int timeout) {
    int effect = strike("poll");
    if (effect > 0)
        FAIL(effect);
    return REAL(poll)(fds, count, timeout);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags) {
    int effect = strike("sendmsg");
    if (effect > 0)
        FAIL(effect);
    return REAL(sendmsg)(fd, message, flags);
}

static int open_any(const char *path, int flags, mode_t mode) {
    int effect = below(path) ? strike("open") : 0;
    if (effect > 0)
        FAIL(effect);
    int fd = syscall(SYS_openat, AT_FDCWD, path, flags, mode);
    opened(fd, path);
    return fd;
}

int open(const char *path, int flags, ...) {
    va_list more;
    va_start(more, flags);
    mode_t mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(more, mode_t) : 0;
    va_end(more);
    return open_any(path, flags, mode);
}

int open64(const char *path, int flags, ...) {
    va_list more;
    va_start(more, flags);
    mode_t mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(more, mode_t) : 0;
    va_end(more);
    return open_any(path, flags, mode);
}

ssize_t read(int fd, void *data, size_t length) {
    int effect = ours(fd) ? strike("read") : 0;
    if (effect > 0)
        FAIL(effect);
    return REAL(read)(fd, data, effect == EFFECT_SHORT ? SHORTEN(length) : length);
}

ssize_t write(int fd, const void *data, size_t length) {
    int effect = ours(fd) ? strike("write") : 0;
    if (effect > 0)
        FAIL(effect);
    return REAL(write)(fd, data, effect == EFFECT_SHORT ? SHORTEN(length) : length);
}

int fsync(int fd) {
    int effect = ours(fd) ? strike("fsync") : 0;
    if (effect > 0)
        FAIL(effect);
    return syscall(SYS_fsync, fd);
}

int ftruncate64(int fd, off64_t size) {
    int effect = ours(fd) ? strike("ftruncate") : 0;
    if (effect > 0)
        FAIL(effect);
    return syscall(SYS_ftruncate, fd, size);
}

int ftruncate(int fd, off_t size) {
    return ftruncate64(fd, size);
}

int rename(const char *old, const char *new) {
    int effect = below(old) ? strike("rename") : 0;
    if (effect > 0)
        FAIL(effect);
    return syscall(SYS_renameat, AT_FDCWD, old, AT_FDCWD, new);
}

int unlink(const char *path) {
    int effect = below(path) ? strike("unlink") : 0;
    if (effect > 0)
        FAIL(effect);
    return syscall(SYS_unlinkat, AT_FDCWD, path, 0);
}

int flock(int fd, int operation) {
    int effect = ours(fd) ? strike("flock") : 0;
    if (effect > 0)
        FAIL(effect);
    return syscall(SYS_flock, fd, operation);
}

int clock_gettime(clockid_t clock, struct timespec *found) {
    int result = syscall(SYS_clock_gettime, clock, found);
    if (!result && clock == CLOCK_REALTIME && step_s != 0 && monotonic() - began >= step_from) {
        found->tv_sec += (time_t)step_s;
    }
    return result;
}
