/* Preloaded into a node by tests: while the file named by RS_CUT_FILE exists,
 * new connections to the ports from RS_CUT_FIRST_PORT to RS_CUT_LAST_PORT
 * fail. The file holds either "refuse" or the port of a listener on the
 * loopback that accepts nothing, so that connecting to it takes forever. */

#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

typedef int (*connect_function)(int, const struct sockaddr *, socklen_t);

static int
read_port_setting(const char *name)
{
    const char *text = getenv(name);
    return text != NULL ? atoi(text) : 0;
}

static int
is_cut_address(const struct sockaddr *address)
{
    if (address->sa_family != AF_INET) {
        return 0;
    }
    int port =
        ntohs(((const struct sockaddr_in *)(const void *)address)->sin_port);
    return port >= read_port_setting("RS_CUT_FIRST_PORT") &&
           port <= read_port_setting("RS_CUT_LAST_PORT");
}

int
connect(int socket, const struct sockaddr *address, socklen_t size)
{
    connect_function next = (connect_function)dlsym(RTLD_NEXT, "connect");
    const char *path = getenv("RS_CUT_FILE");
    char text[16] = "";
    int file = path != NULL && is_cut_address(address)
                   ? open(path, O_RDONLY | O_CLOEXEC)
                   : -1;
    if (file < 0) {
        return next(socket, address, size);
    }
    ssize_t length = read(file, text, sizeof(text) - 1);
    close(file);
    int silent_port = length > 0 ? atoi(text) : 0;
    if (silent_port == 0) {
        errno = ECONNREFUSED;
        return -1;
    }
    struct sockaddr_in silent = {
        .sin_family = AF_INET,
        .sin_port = htons((uint16_t)silent_port),
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    return next(socket, (const struct sockaddr *)&silent, sizeof(silent));
}
