/** @file closing_pointer_base.hpp Shared pointer that closes what it holds. */
#ifndef GODWITCLEAT_TRANSPORT_CLOSING_POINTER_BASE_HPP
#define GODWITCLEAT_TRANSPORT_CLOSING_POINTER_BASE_HPP

#include <memory>
#include <utility>

namespace godwitcleat::transport
{

/**
 * The only owner that may close an implementation which its handlers share.
 * Calls `close()` when it is destroyed or assigned to. @p Implementation may be
 * incomplete where no special member is used.
 */
template <class Implementation>
class closing_pointer
{
public:
    explicit closing_pointer(std::shared_ptr<Implementation> shared)
        : shared_(std::move(shared))
    {
    }

    closing_pointer(closing_pointer&&) noexcept = default;

    auto operator=(closing_pointer&& other) noexcept -> closing_pointer&
    {
        if (this != &other)
        {
            close();
            shared_ = std::move(other.shared_);
        }
        return *this;
    }

    ~closing_pointer()
    {
        close();
    }

    auto operator->() const -> Implementation*
    {
        return shared_.get();
    }

private:
    auto close() -> void
    {
        if (shared_)
        {
            shared_->close();
        }
    }

    std::shared_ptr<Implementation> shared_;
};

} // namespace godwitcleat::transport

#endif
